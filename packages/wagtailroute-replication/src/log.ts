/**
Queries on the part of the log held in memory.
*/
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';

/**
The entries in memory and the base that precedes them.
*/
export type Log = Pick<replica.Replica, 'base' | 'log'>;

/**
Returns the index of the last entry; that of the base if there is none.
*/
export function getLastIndex(log: Log): number {
	return log.base.index + log.log.length;
}

/**
Returns the term of the last entry; that of the base if there is none.
*/
export function getLastTerm(log: Log): number {
	return log.log.at(-1)?.term ?? log.base.term;
}

/**
Returns the term of the entry at an index; undefined before the base and after the last entry.
*/
export function getTerm(log: Log, index: number): number | undefined {
	return index === log.base.index ? log.base.term : log.log[index - log.base.index - 1]?.term;
}

/**
Returns the entries from one index to another, both included.
*/
export function getEntries(log: Log, from: number, to = Infinity): readonly messages.Entry[] {
	return log.log.slice(Math.max(0, from - log.base.index - 1), Math.max(0, to - log.base.index));
}

/**
Returns the members in force at an index, and the index of the entry that set them.
*/
export function findMembers(log: Log, index: number): {readonly members: readonly members.Member[]; readonly index: number} {
	for (let at = index - log.base.index - 1; at >= 0; at--) {
		const entry = log.log[at];
		if (entry?.kind === 'members') {
			return {members: entry.value as readonly members.Member[], index: entry.index};
		}
	}

	return {members: log.base.members, index: log.base.index};
}

/**
Returns whether a log with this last term and index is at least as up-to-date as this one, as Raft defines it for votes.
*/
export function isUpToDate(log: Log, lastTerm: number, lastIndex: number): boolean {
	const ownTerm = getLastTerm(log);
	return lastTerm === ownTerm ? lastIndex >= getLastIndex(log) : lastTerm > ownTerm;
}
