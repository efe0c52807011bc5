/**
Generations and retirements as a replicated state machine: every control host applies the same commands in the same order.
Nothing here reads a clock or a random number.

The highest version wins. A version that is not higher is answered like one that was taken: an operator whose answer was lost
sends the same again, and one that was overtaken has nothing left to do. Both change nothing, so what was in force under a
version stays what is read back under it.

A retirement says that an upstream takes no more work. It is kept here, not with the heartbeats: a heartbeat that was held up
must not bring an upstream back that was acknowledged as leaving, also after a restart of all control hosts.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {MAX_RETIREMENTS} from './constants.ts';
import type {Generation} from './generation.ts';

/**
A generation with the document that it was read from, which operators get back as they sent it.
*/
export type StoredGeneration = {
	readonly generation: Generation;
	readonly document: string;
};

/**
`draining`: the upstream finishes what it has. `gone`: it has left.
*/
export type RetirementState = 'draining' | 'gone';

/**
An upstream that takes no more work.
*/
export type Retirement = {
	readonly upstream: core.UpstreamId;
	readonly state: RetirementState;
};

/**
A command of the group.
*/
export type GenerationCommand =
	| {readonly name: 'put'; readonly stored: StoredGeneration}
	| {readonly name: 'retire'; readonly retirement: Retirement};

/**
The answer to a command: the version in force after it, 0 before the first.
*/
export type GenerationAnswer = {readonly version: number};

/**
What a restart or a new control host begins from.
*/
export type GenerationSnapshot = {
	readonly stored: StoredGeneration | null;
	readonly retirements: readonly Retirement[];
};

/**
The replicated state.
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
	Oldest first.
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
