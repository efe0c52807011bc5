/**
Queries over the log in memory.
*/
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';

/**
The part of a replica that these queries read.
*/
export type Log = Pick<replica.Replica, 'base' | 'log'>;

/**
Index of the last entry.
*/
export function getLastIndex(log: Log): number {
	return log.base.index + log.log.length;
}

/**
Term of the last entry.
*/
export function getLastTerm(log: Log): number {
	return log.log.at(-1)?.term ?? log.base.term;
}

/**
Term of the entry at an index; undefined before the base and after the end.
*/
export function getTerm(log: Log, index: number): number | undefined {
	return index === log.base.index ? log.base.term : log.log[index - log.base.index - 1]?.term;
}

/**
Entries from an index on.
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
Says whether a log that ends at this place holds at least everything that this one does.
*/
export function isUpToDate(log: Log, lastTerm: number, lastIndex: number): boolean {
	const ownTerm = getLastTerm(log);
	return lastTerm === ownTerm ? lastIndex >= getLastIndex(log) : lastTerm > ownTerm;
}
