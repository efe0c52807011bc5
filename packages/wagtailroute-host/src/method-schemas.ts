/**
Shapes of the parameters of each method between hosts, and of the datagrams of the membership.
*/
import * as report from 'wagtailroute-report';
import * as z from 'zod';
import {COMMAND_SCHEMAS, delta} from './command-schemas.ts';
import {groupMessage} from './group-schemas.ts';
import {
	address,
	addressText,
	amount,
	count,
	name,
	text,
	versions,
} from './message-schemas.ts';

const host = z.object({host: name});
const service = z.object({service: name});

const lease = z.object({
	service: name,
	id: name,
	ip: text,
	port: count,
	failureDomain: name,
	slots: count,
	connections: count,
	state: z.enum(['expired', 'serving', 'draining', 'left']),
	version: count,
	holder: name,
});

const carrierMessage = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('delta'), leases: z.array(lease)}),
	z.object({kind: z.literal('acknowledge'), versions: z.array(z.object({service: name, id: name, version: count}))}),
	z.object({kind: z.literal('digest'), digests: z.array(z.object({service: name, count, hash: amount}))}),
	z.object({kind: z.literal('query'), service: name, holder: name.optional()}),
	z.object({kind: z.literal('list'), service: name, leases: z.array(z.object({lease, milliseconds: amount}))}),
]);

const announcement = address.extend({
	failureDomain: name, slots: count, connections: count, state: z.enum(['serving', 'draining']),
});

// One count more than there are verdicts would be added to the next bucket.
const bucketRow = z.array(amount).min(1).max(1 + report.VERDICTS.length);

const copy = z.array(z.object({
	service: name, windowDays: amount, middle: z.array(bucketRow), coarse: z.array(bucketRow),
}));

/**
Parameters by method. A method without a shape can't be registered.
*/
export const METHOD_SCHEMAS: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
	['announcements.message', z.object({from: name, message: carrierMessage})],
	['announcements.tell', z.object({
		service: name, id: name, announcement: announcement.optional(), isForwarded: z.boolean(),
	})],
	['catalogue.delta', z.object({since: count})],
	['catalogue.history', z.object({name})],
	['catalogue.in-force', z.looseObject({}).optional()],
	['catalogue.revision', z.object({revision: count, address})],
	['control.message', groupMessage],
	['control.propose', z.discriminatedUnion('group', [
		z.object({group: z.literal('catalogue'), command: COMMAND_SCHEMAS.catalogue}),
		z.object({group: z.literal('records'), command: COMMAND_SCHEMAS.records}),
	])],
	['detection.summary', z.object({
		host: name, failureDomain: name, epoch: amount, told: z.array(z.tuple([name, amount, text])),
	})],
	['ejections.changed', service],
	['ejections.list', z.object({versions})],
	['quarantine.changed', z.object({
		service: name, version: count, fingerprint: text, standing: z.enum(['suspect', 'cleared', 'quarantined']), milliseconds: amount,
	})],
	['quarantine.list', z.object({versions})],
	['report.copy', z.object({
		subject: z.object({id: name, failureDomain: name}), isOwn: z.boolean(), isWhole: z.boolean(), copy,
	})],
	['report.counters', z.object({span: amount.positive()})],
	['report.held', z.object({host: name, span: amount.positive()})],
	['report.recall', host],
	['report.total', host],
	['upstreams.list', service],
]);

const announcingFailure = z.enum([
	'service-unknown', 'carriers-unreachable', 'bad-announcement', 'too-many-services', 'too-many-upstreams', 'recently-drained',
]);

const ejectionTable = z.object({service: name, version: count, ejected: z.array(z.object({upstream: name, epoch: count}))});

const suspect = z.object({fingerprint: text, standing: z.enum(['suspect', 'cleared', 'quarantined']), milliseconds: amount});

const summary = z.object({services: z.array(z.looseObject({})), untracked: amount});

/**
Answers by method. Most are awaited where nobody handles a rejection, so a malformed one would end the host that asked.
*/
export const ANSWER_SCHEMAS: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
	['catalogue.delta', delta],
	['announcements.tell', z.object({failure: z.object({kind: announcingFailure, message: text}).optional()})],
	['catalogue.history', z.array(z.looseObject({}))],
	['catalogue.in-force', z.object({revision: count})],
	['ejections.list', z.discriminatedUnion('kind', [
		z.object({kind: z.literal('tables'), tables: z.array(ejectionTable)}),
		z.object({kind: z.literal('not-leader'), leader: name.optional()}),
	])],
	['quarantine.list', z.object({services: z.array(z.object({service: name, version: count, suspects: z.array(suspect)}))})],
	['report.copy', z.boolean()],
	['report.counters', z.object({summary, held: z.array(z.tuple([name, amount]))})],
	['report.held', summary],
	['report.recall', copy],
	['report.total', amount],
	['upstreams.list', z.array(z.looseObject({}))],
	['control.propose', z.discriminatedUnion('kind', [
		z.object({kind: z.literal('applied'), value: z.unknown()}),
		z.object({kind: z.literal('not-leader'), leader: name.optional()}),
		z.object({kind: z.literal('failed'), isPossiblyTaken: z.boolean()}),
	])],
]);

const record = z.object({
	id: name,
	boot: text,
	incarnation: count,
	peer: addressText,
	traffic: addressText,
	admin: addressText,
	domain: name,
	region: name,
	roles: text,
	revision: count,
	draining: z.boolean().optional(),
	load: amount.optional(),
});

const update = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('alive'), record}),
	z.object({
		kind: z.literal('suspect'), id: name, incarnation: count, by: name,
	}),
	z.object({kind: z.enum(['dead', 'left']), id: name, incarnation: count}),
]);

const common = {
	from: z.object({
		id: name, boot: text, incarnation: count, peer: addressText, revision: count, load: amount.optional(),
	}),
	updates: z.array(update).optional(),
};

/**
Parameters of datagrams by method.
*/
export const DATAGRAM_SCHEMAS: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
	['membership', z.discriminatedUnion('kind', [
		z.object({
			...common, kind: z.literal('ping'), target: name, sequence: count,
		}),
		z.object({
			...common, kind: z.literal('ack'), sequence: count, target: name.optional(),
		}),
		z.object({
			...common, kind: z.literal('request'), target: name, address: addressText, sequence: count,
		}),
		z.object({...common, kind: z.literal('relaying'), sequence: count}),
		z.object({...common, kind: z.enum(['gossip', 'same'])}),
		z.object({...common, kind: z.literal('digest'), hashes: text}),
		z.object({
			...common, kind: z.literal('versions'), bucket: count, whole: z.boolean(), versions,
		}),
		z.object({...common, kind: z.literal('fetch'), ids: z.array(name)}),
	])],
]);
