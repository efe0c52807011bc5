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
import type {Generation} from './generation.ts';

/**
A generation with the document that it was parsed from, which operators read back as they sent it.
*/
export type StoredGeneration = {
	readonly generation: Generation;
	readonly document: string;
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
A command of the replication group.
*/
export type GenerationCommand =
	| {readonly name: 'put'; readonly stored: StoredGeneration}
	| {readonly name: 'retire'; readonly retirement: Retirement};

/**
The answer to a command: the version in force after it, 0 before the first generation.
*/
export type GenerationAnswer = {readonly version: number};

/**
The whole state, from which a restarted or new control host begins.
*/
export type GenerationSnapshot = {
	readonly stored: StoredGeneration | null;
	readonly retirements: readonly Retirement[];
};

/**
The replicated state machine. `getStored` returns the generation in force.
*/
export type ReplicatedGenerations = {
	readonly apply: (command: GenerationCommand) => GenerationAnswer;
	readonly getStored: () => StoredGeneration | undefined;
	readonly getRetirement: (upstream: core.UpstreamId) => RetirementState | undefined;
	readonly takeSnapshot: () => GenerationSnapshot;
	readonly restoreSnapshot: (snapshot: GenerationSnapshot) => void;
};

type Tables = {
	stored: StoredGeneration | undefined;
	/**
	Oldest first; the oldest are dropped beyond `MAX_RETIREMENTS`.
	*/
	retirements: Map<core.UpstreamId, RetirementState>;
};

/**
Creates the state before the first generation.
*/
export function createReplicatedGenerations(): ReplicatedGenerations {
	const tables: Tables = {stored: undefined, retirements: new Map()};
	return {
		apply(command) {
			HANDLERS[command.name](tables, command as never);
			return {version: tables.stored?.generation.version ?? 0};
		},
		getStored: () => tables.stored,
		getRetirement: upstream => tables.retirements.get(upstream),
		takeSnapshot: () => ({
			stored: tables.stored ?? null,
			retirements: tables.retirements.entries().map(([upstream, state]) => ({upstream, state})).toArray(),
		}),
		restoreSnapshot({stored, retirements}) {
			tables.stored = stored ?? undefined;
			tables.retirements = new Map(retirements.map(({upstream, state}) => [upstream, state]));
		},
	};
}

type Handlers = {
	readonly [Name in GenerationCommand['name']]: (tables: Tables, command: Extract<GenerationCommand, {name: Name}>) => void;
};

const HANDLERS: Handlers = {
	put(tables, {stored}) {
		if (tables.stored === undefined || stored.generation.version > tables.stored.generation.version) {
			tables.stored = stored;
		}
	},
	retire(tables, {retirement: {upstream, state}}) {
		const isGone = tables.retirements.get(upstream) === 'gone';
		utils.setBounded(tables.retirements, upstream, isGone ? 'gone' : state, MAX_RETIREMENTS);
	},
};
