/**
Checks entries before they are sent: what the fleet would refuse, what can have no effect, and what differs from the entries in force.

The entries are checked as `catalogue apply` sends them: one after the other, each replaces the entry of its name, and none is removed. An
entry counts as accepted for those after it even if it has errors, so that the errors of all entries are found at once.
*/
import * as core from 'wagtailroute-core';
import {MAX_ENTRIES} from '../constants.ts';
import type {Entry} from '../entry.ts';
import {createRouteIndex} from '../route-index.ts';
import {listDifferences} from './differences.ts';
import {type Draft, parseDraft} from './drafts.ts';
import {createFinding, type Finding, type FindingCode} from './findings.ts';
import {findContradictions} from './limit-checks.ts';
import {findRouteConflicts, findUnmatchedRoutes} from './route-checks.ts';

/**
Findings and differences of entries.
*/
export type CheckReport = core.CheckReport<FindingCode>;

/**
Checks entries against each other and against those in force.

@param bodies The entries as they would be sent, each well-formed JSON, in this order.
@param inForce The entries in force; undefined if they aren't known: then there are no differences.
*/
export function checkEntries(bodies: readonly string[], inForce: readonly Entry[] | undefined): CheckReport {
	const drafts = bodies.map((body, index) => parseDraft(body, index + 1));
	return {
		findings: core.sortByEntry([
			...drafts.flatMap(draft => draft.findings),
			...findRepeatedEntries(drafts),
			...findRefusedEntries(drafts, inForce ?? []),
			...drafts.flatMap(({entry}) => entry === undefined ? [] : [...findUnmatchedRoutes(entry), ...findContradictions(entry)]),
		]),
		differences: inForce === undefined ? [] : core.sortByEntry(compareEntries(drafts, inForce)),
	};
}

function findRepeatedEntries(drafts: readonly Draft[]): readonly Finding[] {
	const latest = new Map(drafts.map(({label}, index) => [label, index]));
	return drafts
		.filter(({label}, index) => latest.get(label) !== index)
		.map(({label}) => createFinding('entry-repeated', label, 'A later entry of the file with the same name replaces this one.'));
}

function findRefusedEntries(drafts: readonly Draft[], inForce: readonly Entry[]): readonly Finding[] {
	const names = new Set(inForce.map(({name}) => name));
	const routes = createRouteIndex();
	for (const entry of inForce) {
		routes.setEntry(entry);
	}

	return drafts.flatMap(({entry}) => {
		if (entry === undefined) {
			return [];
		}

		const conflicts = findRouteConflicts(entry, routes);
		const isFull = !names.has(entry.name) && names.size >= MAX_ENTRIES;
		routes.setEntry(entry);
		names.add(entry.name);
		return isFull
			? [...conflicts, createFinding('catalogue-full', entry.name, `The catalogue holds ${MAX_ENTRIES} entries at most.`)]
			: conflicts;
	});
}

function compareEntries(drafts: readonly Draft[], inForce: readonly Entry[]): readonly core.Difference[] {
	const present = new Map(inForce.map(entry => [entry.name, entry]));
	// Of entries with the same name, the last one stays in force.
	const next = new Map(drafts.map(({label, entry}) => [label, entry]));
	const differences = next.values().flatMap(entry => entry === undefined ? [] : listDifferences(entry, present.get(entry.name))).toArray();
	const absent = inForce.filter(({name}) => !next.has(name)).map(({name}) => ({change: 'absent', entry: name} as const));
	return [...differences, ...absent];
}
