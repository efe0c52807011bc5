/**
The catalogue as a replicated state machine: every control host applies the same commands in the same order and computes the same
answers. Nothing here reads a clock or a random number.

Two operators may send changes from the same revision: compare-and-set accepts exactly one and returns the present revision to the other.
An operator may lose the answer and resend the change: the table of Change-Ids, which is part of the snapshot, returns the first answer
again, so that the change is neither applied twice nor refused as stale.
*/
import * as crypto from 'node:crypto';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import {
	MAX_ENTRIES,
	MAX_HISTORY_ITEMS,
	MAX_STORED_ANSWERS,
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
A change as an operator requested it. `expected` is the revision of the entry that it was made from, 0 when the entry must not exist.
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
	Unix milliseconds by the clock of the host that received the change: for display only, never used for a decision.
	*/
	readonly takenAt: number;
};

/**
Why a change was refused. A refused change changes nothing.
*/
export type ChangeFailure = core.Failure<'revision-conflict' | 'entry-unknown' | 'route-conflict' | 'change-id-reused' | 'catalogue-full'> & {
	/**
	The present revision of the entry, 0 when there is none.
	*/
	readonly revision: Revision;
};

/**
The answer to a change; a resend gets the same answer again.
*/
export type ChangeAnswer =
	| {readonly accepted: true; readonly revision: Revision}
	| {readonly accepted: false; readonly failure: ChangeFailure};

/**
One accepted change, as shown to operators.
*/
export type HistoryItem = {
	readonly revision: Revision;
	readonly changeId: string;
	readonly operator: string;
	readonly takenAt: number;
	readonly action: 'created' | 'changed' | 'removed';
};

type StoredAnswer = {
	/**
	Digest of the content of the change: a Change-Id that comes with another content is refused.
	*/
	readonly fingerprint: string;
	readonly answer: ChangeAnswer;
};

/**
The whole state, from which a restarted or new control host begins.
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
The replicated catalogue. `getView` returns an immutable view.
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
Returns a digest of the content of a change. The texts themselves, of 20,000 entries, would be the largest part of the state.
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
Converts the answer to a change into a result.
*/
export function toResult(answer: ChangeAnswer): results.Result<Revision, ChangeFailure> {
	return answer.accepted ? results.Ok(answer.revision) : results.Err(answer.failure);
}
