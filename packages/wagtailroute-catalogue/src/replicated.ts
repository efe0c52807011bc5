/**
The catalogue as a replicated state machine: every control host applies the same commands in the same order and comes to
the same answers. Nothing here reads a clock or a random number.

Two things can go wrong with an operator's change. Two operators race from the same revision: compare-and-set lets exactly
one win and tells the other the present revision. An operator loses the answer and sends again: the table of Change-Ids,
which is part of the snapshot, gives the first answer again instead of running the change a second time or refusing it as
stale.
*/
import * as crypto from 'node:crypto';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import {
	MAX_STORED_ANSWERS,
	MAX_HISTORY_ITEMS,
	MAX_ENTRIES,
} from './constants.ts';
import type {Entry} from './entry.ts';
import {createRouteIndex, type RouteIndex} from './route-index.ts';
import {
	addRemovals,
	EMPTY_VIEW,
	type Removal,
	type Revision,
	type VersionedEntry,
	type View,
} from './view.ts';

/**
A change as an operator asked for it. `expected` is the revision it was made from, 0 when the entry must not exist.
*/
export type Change = {
	readonly changeId: string;
	readonly operator: string;
	readonly name: core.ServiceName;
	/**
	Absent to remove the entry.
	*/
	readonly entry?: Entry;
	readonly expected: Revision;
	/**
	Wall clock of the host that took it, in milliseconds: for people, never for a decision.
	*/
	readonly takenAt: number;
};

/**
Why a change was refused. It was not taken.
*/
export type ChangeFailure = core.Failure<'revision-conflict' | 'entry-unknown' | 'route-conflict' | 'change-id-reused' | 'catalogue-full'> & {
	/**
	The present revision of the entry, 0 when there is none.
	*/
	readonly revision: Revision;
};

/**
The answer to a change; a resend gets the first one again.
*/
export type ChangeAnswer =
	| {readonly accepted: true; readonly revision: Revision}
	| {readonly accepted: false; readonly failure: ChangeFailure};

/**
One accepted change, for people.
*/
export type HistoryItem = {
	readonly revision: Revision;
	readonly changeId: string;
	readonly operator: string;
	readonly takenAt: number;
	readonly action: 'created' | 'changed' | 'removed';
};

type StoredAnswer = {
	readonly fingerprint: string;
	readonly answer: ChangeAnswer;
};

/**
A snapshot that a restart or a new control host begins from.
*/
export type CatalogueSnapshot = {
	readonly revision: Revision;
	readonly entries: readonly VersionedEntry[];
	readonly removals: readonly Removal[];
	readonly removalsFrom: Revision;
	readonly answers: ReadonlyArray<readonly [string, StoredAnswer]>;
	readonly history: ReadonlyArray<readonly [core.ServiceName, readonly HistoryItem[]]>;
};

/**
The replicated catalogue. `getView` gives an immutable view.
*/
export type ReplicatedCatalogue = {
	readonly apply: (change: Change) => ChangeAnswer;
	readonly getView: () => View;
	readonly getHistory: (name: core.ServiceName) => readonly HistoryItem[];
	readonly takeSnapshot: () => CatalogueSnapshot;
	readonly restoreSnapshot: (snapshot: CatalogueSnapshot) => void;
};

type Tables = {
	view: View;
	routes: RouteIndex;
	answers: Map<string, StoredAnswer>;
	history: Map<core.ServiceName, readonly HistoryItem[]>;
};

/**
Creates an empty catalogue.
*/
export function createReplicatedCatalogue(): ReplicatedCatalogue {
	const tables: Tables = {
		view: EMPTY_VIEW,
		routes: createRouteIndex(),
		answers: new Map(),
		history: new Map(),
	};
	return {
		apply: change => applyChange(tables, change),
		getView: () => tables.view,
		getHistory: name => tables.history.get(name) ?? [],
		takeSnapshot: () => takeSnapshot(tables),
		restoreSnapshot(snapshot) {
			restoreSnapshot(tables, snapshot);
		},
	};
}

function applyChange(tables: Tables, change: Change): ChangeAnswer {
	const fingerprint = createFingerprint(change);
	const stored = tables.answers.get(change.changeId);
	if (stored !== undefined) {
		return stored.fingerprint === fingerprint ? stored.answer : refuse(tables, change, 'change-id-reused');
	}

	const answer = executeChange(tables, change);
	storeAnswer(tables, change.changeId, {fingerprint, answer});
	return answer;
}

/**
Names what a change asks for. A digest, since the text of 20,000 entries would be the largest part of the state.
*/
function createFingerprint(change: Change): string {
	const text = JSON.stringify([change.name, change.entry ?? null, change.expected]);
	return crypto.createHash('sha256').update(text).digest('base64url');
}

function executeChange(tables: Tables, change: Change): ChangeAnswer {
	const refusal = findRefusal(tables, change);
	if (refusal !== undefined) {
		return refusal;
	}

	const revision = tables.view.revision + 1;
	addHistory(tables, change, revision);
	if (change.entry === undefined) {
		tables.view = removeEntry(tables.view, change.name, revision);
		tables.routes.removeEntry(change.name);
	} else {
		tables.view = putEntry(tables.view, change.entry, revision);
		tables.routes.setEntry(change.entry);
	}

	return {accepted: true, revision};
}

function findRefusal(tables: Tables, change: Change): ChangeAnswer | undefined {
	const present = tables.view.entries.get(change.name);
	if (present === undefined && change.entry === undefined) {
		return refuse(tables, change, 'entry-unknown');
	}

	if ((present?.revision ?? 0) !== change.expected) {
		return refuse(tables, change, 'revision-conflict');
	}

	if (present === undefined && tables.view.entries.size >= MAX_ENTRIES) {
		return refuse(tables, change, 'catalogue-full');
	}

	return change.entry !== undefined && tables.routes.findConflict(change.entry) !== undefined
		? refuse(tables, change, 'route-conflict')
		: undefined;
}

const REFUSAL_MESSAGES: Readonly<Record<ChangeFailure['kind'], (change: Change, revision: Revision) => string>> = {
	'revision-conflict': (change, revision) =>
		`The entry ${change.name} is at revision ${revision}, the change was made from ${change.expected}.`,
	'entry-unknown': change => `There is no entry ${change.name}.`,
	'route-conflict': change => `Another service already has a route of ${change.name}.`,
	'change-id-reused': change => `The Change-Id ${change.changeId} was used for another change.`,
	'catalogue-full': () => `The catalogue holds ${MAX_ENTRIES} entries already.`,
};

function refuse(tables: Tables, change: Change, kind: ChangeFailure['kind']): ChangeAnswer {
	const revision = tables.view.entries.get(change.name)?.revision ?? 0;
	const failure = {...core.createFailure(kind, REFUSAL_MESSAGES[kind](change, revision)), revision};
	return {accepted: false, failure};
}

function putEntry(view: View, entry: Entry, revision: Revision): View {
	const entries = new Map(view.entries);
	entries.set(entry.name, {revision, entry});
	return {...view, revision, entries};
}

function removeEntry(view: View, name: core.ServiceName, revision: Revision): View {
	const entries = new Map(view.entries);
	entries.delete(name);
	return {revision, entries, ...addRemovals(view, [{name, revision}])};
}

function storeAnswer(tables: Tables, changeId: string, stored: StoredAnswer): void {
	tables.answers.set(changeId, stored);
	if (tables.answers.size <= MAX_STORED_ANSWERS) {
		return;
	}

	const oldest = tables.answers.keys().next();
	tables.answers.delete(oldest.value ?? '');
}

function addHistory(tables: Tables, change: Change, revision: Revision): void {
	const isNew = !tables.view.entries.has(change.name);
	const changedAction = isNew ? 'created' : 'changed';
	const item: HistoryItem = {
		revision,
		changeId: change.changeId,
		operator: change.operator,
		takenAt: change.takenAt,
		action: change.entry === undefined ? 'removed' : changedAction,
	};
	const items = [...tables.history.get(change.name) ?? [], item];
	tables.history.set(change.name, items.slice(-MAX_HISTORY_ITEMS));
}

function takeSnapshot(tables: Tables): CatalogueSnapshot {
	const {view} = tables;
	return {
		revision: view.revision,
		entries: view.entries.values().toArray(),
		removals: view.removals,
		removalsFrom: view.removalsFrom,
		answers: [...tables.answers],
		history: [...tables.history],
	};
}

function restoreSnapshot(tables: Tables, snapshot: CatalogueSnapshot): void {
	tables.view = {
		revision: snapshot.revision,
		entries: new Map(snapshot.entries.map(versioned => [versioned.entry.name, versioned])),
		removals: snapshot.removals,
		removalsFrom: snapshot.removalsFrom,
	};
	tables.routes = createRouteIndex();
	tables.routes.applyViewChange(EMPTY_VIEW, tables.view);
	tables.answers = new Map(snapshot.answers);
	tables.history = new Map(snapshot.history);
}

/**
Turns the answer to a change into a result.
*/
export function toResult(answer: ChangeAnswer): results.Result<Revision, ChangeFailure> {
	return answer.accepted ? results.Ok(answer.revision) : results.Err(answer.failure);
}
