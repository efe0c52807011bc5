/**
Generations and retirements as a replicated state machine: every control host applies the same commands in the same order.
Nothing here reads a clock or a random number.

The highest version wins. A version that is not higher changes nothing but is answered like an accepted one: an operator whose answer was
lost sends the same version again, and one whose version was superseded has nothing left to do. A document that was in force under a
version therefore stays the one that is read back under it.

A retirement records that an upstream accepts no more work. It is kept here, not with the heartbeats: a delayed heartbeat must not bring
back an upstream that was acknowledged as leaving, even after a restart of all control hosts.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {MAX_RETIREMENTS} from './constants.ts';
import {
	decodeGeneration,
	encodeGeneration,
	type EncodedGeneration,
	type SubmittedGeneration,
} from './encoding.ts';
import type {Generation} from './generation.ts';

/**
A generation with its encoded form.
*/
export type StoredGeneration = {
	readonly generation: Generation;
	readonly encoded: EncodedGeneration;
};

/**
`draining`: the upstream completes the requests it has. `gone`: it has left.
*/
export type RetirementState = 'draining' | 'gone';

/**
The record that an upstream accepts no more work.
*/
export type Retirement = {
	readonly upstream: core.UpstreamId;
	readonly state: RetirementState;
};

/**
A retirement with the log index of its command, which snapshots of older builds do not contain.
*/
export type IndexedRetirement = Retirement & {readonly index?: number};

/**
A command of the replication group. Logs and snapshots on disks may still hold a generation that is not encoded.
*/
export type GenerationCommand =
	| {readonly name: 'put'; readonly stored: EncodedGeneration | SubmittedGeneration}
	| {readonly name: 'retire'; readonly retirement: Retirement};

/**
The answer to a command: the version in force after it, 0 before the first generation.
*/
export type GenerationAnswer = {readonly version: number};

/**
The whole state, from which a restarted or new control host begins.
*/
export type GenerationSnapshot = {
	readonly stored: EncodedGeneration | SubmittedGeneration | null;
	readonly retirements: readonly IndexedRetirement[];
};

/**
The replicated state machine. `getStored` returns the generation in force.
*/
export type ReplicatedGenerations = {
	/**
	@param index Log index of the command.
	*/
	readonly apply: (command: GenerationCommand, index: number) => GenerationAnswer;
	readonly getStored: () => StoredGeneration | undefined;
	readonly getRetirement: (upstream: core.UpstreamId) => RetirementState | undefined;
	/**
	Returns the log index of the last retirement that changed something, 0 before the first.
	*/
	readonly getRetirementIndex: () => number;
	/**
	Lists the retirements after a log index, oldest first; all of them after 0.
	*/
	readonly listRetirements: (after: number) => readonly Retirement[];
	readonly takeSnapshot: () => GenerationSnapshot;
	readonly restoreSnapshot: (snapshot: GenerationSnapshot) => void;
};

type Tables = {
	stored: StoredGeneration | undefined;
	/**
	Oldest first; the oldest are dropped beyond `MAX_RETIREMENTS`.
	*/
	retirements: Map<core.UpstreamId, {readonly state: RetirementState; readonly index: number}>;
	retirementIndex: number;
};

/**
Index of retirements whose own is unknown: the lowest that a log has.
*/
const FIRST_INDEX = 1;

/**
Creates the state before the first generation.
*/
export function createReplicatedGenerations(): ReplicatedGenerations {
	const tables: Tables = {stored: undefined, retirements: new Map(), retirementIndex: 0};
	return {
		apply(command, index) {
			HANDLERS[command.name](tables, command as never, index);
			return {version: tables.stored?.generation.version ?? 0};
		},
		getStored: () => tables.stored,
		getRetirement: upstream => tables.retirements.get(upstream)?.state,
		getRetirementIndex: () => tables.retirementIndex,
		listRetirements: after => listRetirements(tables).filter(({index}) => index > after),
		takeSnapshot: () => ({
			stored: tables.stored?.encoded ?? null,
			retirements: listRetirements(tables),
		}),
		restoreSnapshot({stored, retirements}) {
			tables.stored = stored === null ? undefined : toStored(stored);
			tables.retirements = new Map(retirements.map(({upstream, state, index = FIRST_INDEX}) => [upstream, {state, index}]));
			tables.retirementIndex = Math.max(0, ...tables.retirements.values().map(({index}) => index));
		},
	};
}

function isEncoded(stored: EncodedGeneration | SubmittedGeneration): stored is EncodedGeneration {
	return typeof stored.generation === 'string';
}

/**
Returns the version of a generation in either form.
*/
export function getSubmittedVersion(stored: EncodedGeneration | SubmittedGeneration): number {
	return isEncoded(stored) ? stored.version : stored.generation.version;
}

function toStored(stored: EncodedGeneration | SubmittedGeneration): StoredGeneration {
	return isEncoded(stored)
		? {generation: decodeGeneration(stored.generation), encoded: stored}
		: {generation: stored.generation, encoded: encodeGeneration(stored)};
}

function listRetirements({retirements}: Tables): ReadonlyArray<Required<IndexedRetirement>> {
	return retirements.entries().map(([upstream, {state, index}]) => ({upstream, state, index})).toArray();
}

type Handlers = {
	readonly [Name in GenerationCommand['name']]: (tables: Tables, command: Extract<GenerationCommand, {name: Name}>, index: number) => void;
};

const HANDLERS: Handlers = {
	put(tables, {stored}) {
		if (tables.stored === undefined || getSubmittedVersion(stored) > tables.stored.generation.version) {
			tables.stored = toStored(stored);
		}
	},
	retire(tables, {retirement: {upstream, state}}, index) {
		const known = tables.retirements.get(upstream)?.state;
		if (known === 'gone' || known === state) {
			return;
		}

		utils.setBounded(tables.retirements, upstream, {state, index}, MAX_RETIREMENTS);
		tables.retirementIndex = index;
	},
};
