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
			stored: tables.stored?.encoded ?? null,
			retirements: tables.retirements.entries().map(([upstream, state]) => ({upstream, state})).toArray(),
		}),
		restoreSnapshot({stored, retirements}) {
			tables.stored = stored === null ? undefined : toStored(stored);
			tables.retirements = new Map(retirements.map(({upstream, state}) => [upstream, state]));
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

type Handlers = {
	readonly [Name in GenerationCommand['name']]: (tables: Tables, command: Extract<GenerationCommand, {name: Name}>) => void;
};

const HANDLERS: Handlers = {
	put(tables, {stored}) {
		if (tables.stored === undefined || getSubmittedVersion(stored) > tables.stored.generation.version) {
			tables.stored = toStored(stored);
		}
	},
	retire(tables, {retirement: {upstream, state}}) {
		const isGone = tables.retirements.get(upstream) === 'gone';
		utils.setBounded(tables.retirements, upstream, isGone ? 'gone' : state, MAX_RETIREMENTS);
	},
};
