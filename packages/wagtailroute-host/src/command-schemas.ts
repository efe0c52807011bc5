/**
Shapes of the commands of the replicated groups.

A command that reaches the log is applied by every replica of its group, now and after each start. One that throws there would
stop them all for good, so it is refused before it is proposed, and again when it comes with the log of another host.
*/
import * as catalogue from 'wagtailroute-catalogue';
import type * as records from 'wagtailroute-records';
import * as z from 'zod';
import {
	amount,
	count,
	name,
	text,
} from './message-schemas.ts';

const recordName = z.object({service: name, organisation: text, key: text});

const storedAnswer = z.object({status: count, headers: z.array(z.tuple([text, text])), body: text});

const upstreamView = z.object({
	service: name,
	host: name,
	serving: z.array(name),
	draining: z.array(name),
	healthyFloor: z.object({kind: z.enum(['count', 'percent']), value: amount}),
});

const shareRequest = z.object({
	service: name,
	limitName: z.enum(['concurrency', 'ratePerSecond']),
	host: name,
	holds: count,
	demand: amount,
	inUse: amount,
	limit: amount,
	carriers: amount,
});

const record = recordName.extend({
	digest: text,
	attempt: text,
	host: name,
	bootId: text,
	token: count,
	state: z.enum(['running', 'ran', 'unknown']),
	answer: storedAnswer.optional(),
	until: amount,
});

// The parts of a service's state are made by the state machine itself and handed on as they are.
const serviceState = z.object({
	ejections: z.object({version: count, ejected: z.array(z.object({upstream: name, epoch: count}))}),
	shares: z.object({concurrency: z.looseObject({}), ratePerSecond: z.looseObject({})}),
	quarantine: z.object({
		version: count, entries: z.array(z.object({fingerprint: text, until: amount})), crashes: z.array(z.object({name: text, until: amount})),
	}),
	claimsUnknownUntil: amount,
});

const PAYLOAD_SCHEMAS: Readonly<Record<records.CommandName, z.ZodType>> = {
	'open-service': z.object({
		service: name,
		origin: z.discriminatedUnion('kind', [
			z.object({kind: z.enum(['new', 'lost'])}),
			z.object({kind: z.literal('adopted'), exported: z.object({groupTime: amount, records: z.array(record), state: serviceState})}),
		]),
	}),
	'close-service': z.object({service: name}),
	claim: recordName.extend({
		digest: text, attempt: text, host: name, bootId: text, budgetMilliseconds: amount,
	}),
	settle: recordName.extend({
		attempt: text,
		ending: z.discriminatedUnion('kind', [
			z.object({kind: z.literal('ran'), answer: storedAnswer.optional()}),
			z.object({kind: z.enum(['not-run', 'unknown'])}),
		]),
	}),
	'lose-host': z.object({host: name, bootId: text}),
	'forget-host': z.object({host: name}),
	'report-upstreams': upstreamView,
	'request-ejection': upstreamView.extend({upstream: name, badness: amount}),
	readmit: z.object({service: name, upstream: name, epoch: count}),
	'renew-shares': z.object({requests: z.array(shareRequest)}),
	'report-crash': z.object({
		service: name, upstream: name, incarnation: text, inFlight: z.array(z.object({fingerprint: text, hasCompleted: z.boolean()})),
	}),
	'request-trial': z.object({
		service: name, fingerprint: text, upstream: name, attempt: text, budgetMilliseconds: amount,
	}),
	'end-trial': z.object({service: name, attempt: text, ending: z.enum(['completed', 'not-sent'])}),
	'release-fingerprint': z.object({service: name, fingerprint: text}),
	tick: z.object({}),
};

const payloadSchemas: ReadonlyMap<string, z.ZodType> = new Map(Object.entries(PAYLOAD_SCHEMAS));

const namedCommand = z.object({name: text, stampedAt: amount, payload: z.unknown()});

const recordsCommand = z.custom<records.Command>(value => {
	const command = namedCommand.safeParse(value);
	return command.success && (payloadSchemas.get(command.data.name)?.safeParse(command.data.payload).success ?? false);
});

const entry = z.custom<catalogue.Entry>(value => catalogue.parseEntry(value).isOk());

const change = z.object({
	changeId: text, operator: name, name, entry: entry.optional(), expected: count, takenAt: amount,
});

const versionedEntry = z.object({revision: count, entry});

const removal = z.object({name, revision: count});

/**
A difference between two views of the catalogue, as another host answers it.
*/
export const delta = z.object({
	scope: z.enum(['changes', 'whole']), from: count, to: count, entries: z.array(versionedEntry), removals: z.array(removal),
});

/**
Commands by group.
*/
export const COMMAND_SCHEMAS = {catalogue: change, records: recordsCommand} as const;

/**
States of a snapshot by group.
*/
export const SNAPSHOT_SCHEMAS = {
	catalogue: z.object({
		revision: count,
		entries: z.array(versionedEntry),
		removals: z.array(removal),
		removalsFrom: count,
		answers: z.array(z.tuple([text, z.object({fingerprint: text, answer: z.looseObject({accepted: z.boolean()})})])),
		history: z.array(z.tuple([name, z.array(z.looseObject({revision: count}))])),
	}),
	records: z.object({
		groupTime: amount,
		idempotency: z.object({
			nextToken: count, running: z.array(record), settled: z.array(record), abandoned: z.array(z.tuple([text, amount])),
		}),
		services: z.array(z.tuple([name, serviceState])),
	}),
} as const;
