/**
What must hold whatever happens: one leader a term, committed entries never changed, every state machine through the same
states, no read that goes back, no refused command taken.
*/
import * as log from '../../log.ts';
import type * as replication from '../../index.ts';

/**
A state machine that any difference in the sequence of commands shows in.
*/
export type ChainMachine = {readonly index: number; readonly chain: number};

/**
Thrown when something doesn't hold.
*/
export class Violation extends Error {
	override readonly name = 'Violation';
}

/**
What a run has seen so far, by term or index.
*/
export type Checks = {
	readonly leaders: Map<number, string>;
	readonly committed: Map<number, string>;
	readonly chains: Map<number, number>;
	readonly commands: Map<string, number>;
	readonly refused: Set<number>;
	readonly reads: Map<string, number>;
	/**
	Highest index that a caller knows to be accepted or has read.
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
Creates the record of a run.
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
Checks one step of a replica.
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
Entries covered by a snapshot are checked by its state.
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
Applies a command to a state machine and checks that it went through the same states as the others.
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
Checks a state that came by snapshot.
*/
export function checkRestored(checks: Checks, machine: ChainMachine): void {
	check((checks.chains.get(machine.index) ?? machine.chain) === machine.chain, 'a snapshot holds another state');
}

/**
Checks an answer to a read or a proposal; says whether it was a read that succeeded.
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
Checks the healed group.
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
