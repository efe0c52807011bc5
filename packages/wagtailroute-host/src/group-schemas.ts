/**
Shapes of the messages of a replicated group.

A replica takes entries into its log as they come, and to its disk. Entries out of order or of another shape would stay there
and stop the replica at each start.
*/
import type * as replication from 'wagtailroute-replication';
import * as z from 'zod';
import {COMMAND_SCHEMAS, SNAPSHOT_SCHEMAS} from './command-schemas.ts';
import {count, name} from './message-schemas.ts';
import type {GroupName} from './proposals.ts';

const member = z.object({id: name, role: z.enum(['voter', 'learner'])});

function createGroupSchemas(group: GroupName) {
	const envelope = z.object({
		group: z.literal(group), from: name, to: name, term: count,
	});
	const numbered = {index: count, term: count, bytes: count};
	const entry = z.discriminatedUnion('kind', [
		z.object({...numbered, kind: z.literal('command'), value: COMMAND_SCHEMAS[group]}),
		z.object({...numbered, kind: z.literal('members'), value: z.array(member)}),
		z.object({...numbered, kind: z.literal('empty'), value: z.unknown()}),
	]);
	const voteRequest = envelope.extend({lastIndex: count, lastTerm: count});
	const voteAnswer = envelope.extend({granted: z.boolean()});
	const append = envelope.extend({
		previousIndex: count, previousTerm: count, entries: z.array(entry), commit: count, round: count,
	}).refine(isInOrder);
	const appendAnswer = envelope.extend({
		accepted: z.boolean(), previousIndex: count, match: count, round: count,
	});
	const install = envelope.extend({
		snapshot: z.object({...numbered, members: z.array(member), state: SNAPSHOT_SCHEMAS[group].nullable()}),
		round: count,
	});
	const announce = z.object({
		group: z.literal(group), from: name, to: name.nullable(), isEmpty: z.boolean(),
	});
	return new Map<string, z.ZodType>([
		['pre-vote', voteRequest],
		['vote', voteRequest],
		['pre-vote-answer', voteAnswer],
		['vote-answer', voteAnswer],
		['append', append],
		['append-answer', appendAnswer],
		['install', install],
		['announce', announce],
	]);
}

type Numbered = {readonly index: number; readonly term: number};

/**
Entries follow on each other and on `previousIndex`, and none is of a later term than its sender's.
*/
function isInOrder({previousIndex, previousTerm, term, entries}: {
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly term: number;
	readonly entries: readonly Numbered[];
}): boolean {
	return entries.every((entry, at) => {
		const before = at === 0 ? previousTerm : entries[at - 1]!.term;
		return entry.index === previousIndex + at + 1 && entry.term >= before && entry.term <= term;
	});
}

/**
A message of any group.
*/
export const groupMessage = z.custom<replication.GroupMessage>(value => {
	const head = messageHead.safeParse(value);
	// A look-up by kind: a union would try one shape after the other, on the most frequent messages between control hosts.
	return head.success && (GROUP_SCHEMAS[head.data.group].get(head.data.kind)?.safeParse(value).success ?? false);
});

const messageHead = z.object({group: z.enum(['catalogue', 'records']), kind: z.string()});

const GROUP_SCHEMAS: Readonly<Record<GroupName, ReadonlyMap<string, z.ZodType>>> = {
	catalogue: createGroupSchemas('catalogue'),
	records: createGroupSchemas('records'),
};
