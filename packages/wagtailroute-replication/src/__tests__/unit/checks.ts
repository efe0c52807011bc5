/**
Invariants of every run: at most one leader per term, committed entries never change, all state machines pass through the
same states, reads are linearizable, and refused commands are never committed.
*/
import * as log from '../../log.ts';
import type * as replication from '../../index.ts';

/**
A state machine whose state is a hash chain of its commands, so that any difference in their sequence shows.
*/
export type ChainMachine = {readonly index: number; readonly chain: number};

/**
Thrown when an invariant is violated.
*/
export class Violation extends Error {
	override readonly name = 'Violation';
}

/**
What a run has observed so far, by term, log index or request.
*/
export type Checks = {
	readonly leaders: Map<number, string>;
	readonly committed: Map<number, string>;
	readonly chains: Map<number, number>;
	readonly commands: Map<string, number>;
	readonly refused: Set<number>;
	readonly reads: Map<string, number>;
	/**
	Highest index that a caller has seen acknowledged or has read; later reads must reach it.
	*/
	minReadIndex: number;
	lastAcknowledged: number;
};

export const INITIAL_MACHINE: ChainMachine = {index: 0, chain: 7};

const CHAIN_FACTOR = 31;
const CHAIN_MODULUS = 1_000_003;

/**
Throws a {@link Violation} unless the condition holds.
*/
export function check(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new Violation(message);
	}
}

/**
Creates the empty record of a run.
*/
export function createChecks(): Checks {
	return {
		leaders: new Map(),
		committed: new Map(),
		chains: new Map(),
		commands: new Map(),
		refused: new Set(),
		reads: new Map(),
		minReadIndex: 0,
		lastAcknowledged: 0,
	};
}

/**
Checks a step of a replica: newly committed entries, and that its term has one leader.
*/
export function checkStep(checks: Checks, before: replication.Replica, after: replication.Replica): void {
	for (let index = before.commit + 1; index <= after.commit; index++) {
		checkCommit(checks, index, log.getEntries(after, index, index)[0]);
	}

	if (after.role !== 'leader') {
		return;
	}

	const leader = checks.leaders.get(after.term) ?? after.settings.self;
	check(leader === after.settings.self, `term ${after.term} has two leaders`);
	checks.leaders.set(after.term, leader);
}

/**
Skips entries covered by a snapshot, which are checked by its state.
*/
function checkCommit(checks: Checks, index: number, entry: replication.Entry | undefined): void {
	if (entry === undefined) {
		return;
	}

	const text = JSON.stringify(entry);
	check(text === (checks.committed.get(index) ?? text), `entry ${index} was committed twice, differently`);
	checks.committed.set(index, text);
}

/**
Applies a command to a state machine and checks that it passes through the same states as the others.
*/
export function applyCommand(checks: Checks, machine: ChainMachine, index: number, command: number): ChainMachine {
	check(index > machine.index, `entry ${index} was applied twice`);
	for (let between = machine.index + 1; between < index; between++) {
		check(!checks.committed.get(between)?.includes('"kind":"command"'), `entry ${between} was not applied`);
	}

	const chain = ((machine.chain * CHAIN_FACTOR) + command) % CHAIN_MODULUS;
	check((checks.chains.get(index) ?? chain) === chain, `entry ${index} was applied on another state`);
	checks.chains.set(index, chain);
	return {index, chain};
}

/**
Checks a state restored from a snapshot.
*/
export function checkRestored(checks: Checks, machine: ChainMachine): void {
	check((checks.chains.get(machine.index) ?? machine.chain) === machine.chain, 'a snapshot holds another state');
}

/**
Checks the answer to a read or a proposal; returns whether it is that of a successful read.
*/
export function checkAnswer(checks: Checks, machine: ChainMachine, id: string, answer: replication.Answer): boolean {
	const command = checks.commands.get(id);
	const isRefused = answer.outcome === 'not-leader' || answer.outcome === 'refused';
	if (command !== undefined && isRefused) {
		checks.refused.add(command);
	}

	const minIndex = checks.reads.get(id);
	if (minIndex === undefined || answer.outcome !== 'done') {
		return false;
	}

	check(machine.index >= minIndex, `a read went back from entry ${minIndex} to ${machine.index}`);
	checks.minReadIndex = Math.max(checks.minReadIndex, machine.index);
	return true;
}

/**
Checks the healed group at the end of a run.
*/
export function checkEnd(checks: Checks, machines: readonly ChainMachine[]): void {
	for (const machine of machines) {
		check(machine.index >= checks.lastAcknowledged, 'an acknowledged change is lost');
		check(machine.chain === machines[0]!.chain, 'the state machines differ');
	}

	for (const text of checks.committed.values()) {
		const {kind, value} = JSON.parse(text) as replication.Entry;
		check(kind !== 'command' || !checks.refused.has(value as number), `command ${String(value)} was refused and taken`);
	}
}
