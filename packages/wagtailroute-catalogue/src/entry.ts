/**
A catalogue entry: one service, its routes, and the limits on the requests, retries and probes that the system may send to it.
Every entry passes the schema, so that all other code can rely on valid values with their defaults filled in.
*/
import * as buffer from 'node:buffer';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as yaml from 'yaml';
import * as zod from 'zod';
import {
	MAX_ENTRY_BYTES,
	MAX_NAME_LENGTH,
	MAX_PREFIX_LENGTH,
	MAX_ROUTES_PER_ENTRY,
} from './constants.ts';

const NAME_PATTERN = /^[\da-z](?:[\d\-.a-z]*[\da-z])?$/v;
const HOST_PATTERN = /^[\da-z](?:[\d\-.:a-z]*[\da-z])?$/v;
const METHOD_PATTERN = /^[A-Z]+$/v;
const PERCENT_PATTERN = /^(?:\d{1,2}|100)%$/v;
const RESERVED_PREFIX = '/.wagtailroute';

const nameSchema = zod.string().max(MAX_NAME_LENGTH).regex(NAME_PATTERN, 'must be lower-case letters, digits, dots and dashes');

const prefixSchema = zod.string()
	.max(MAX_PREFIX_LENGTH)
	.startsWith('/')
	.refine(prefix => !prefix.startsWith(RESERVED_PREFIX), `must not begin with ${RESERVED_PREFIX}`)
	.refine(prefix => !/[\s#%?]|\/\/|\/\.{1,2}(?:\/|$)/v.test(prefix), 'must be a plain path without query, escapes, empty or dot segments');

const routeSchema = zod.strictObject({
	host: zod.string().max(253).regex(HOST_PATTERN, 'must be a lower-case host name').optional(),
	pathPrefix: prefixSchema,
	methods: zod.array(zod.string().regex(METHOD_PATTERN, 'must be an upper-case method')).min(1).max(20).optional(),
	class: zod.enum(['read', 'idempotent', 'non-idempotent']),
	requireIdempotencyKey: zod.boolean().optional(),
});

const limitsSchema = zod.strictObject({
	concurrency: zod.int().min(1).max(10_000_000).default(1000),
	ratePerSecond: zod.number().positive().max(10_000_000).optional(),
	perOrganisationShare: zod.number().positive().max(1).optional(),
	queueMilliseconds: zod.int().min(0).max(60_000).default(100),
	retryRatio: zod.number().min(0).max(1).default(0.1),
	timeoutMilliseconds: zod.int().min(1).max(3_600_000).default(30_000),
	bodyBytes: zod.int().min(0).max(17_179_869_184).default(67_108_864),
	probesPerSecond: zod.number().min(0).max(10_000).default(1),
	connectionsPerUpstream: zod.int().min(1).max(10_000).default(300),
});

const floorSchema = zod.union([
	zod.int().min(0).max(1_000_000),
	zod.string().regex(PERCENT_PATTERN, 'must be a count or a percentage such as "70%"'),
]);

const objectiveSchema = zod.strictObject({
	availability: zod.number().gt(0).lt(1).default(0.999),
	latencyMilliseconds: zod.number().positive().max(3_600_000).default(1000),
	windowDays: zod.int().min(1).max(90).default(28),
});

const entrySchema = zod.strictObject({
	name: nameSchema,
	owner: zod.string().min(1).max(MAX_NAME_LENGTH),
	routes: zod.array(routeSchema).min(1).max(MAX_ROUTES_PER_ENTRY),
	limits: limitsSchema.prefault({}),
	healthyFloor: floorSchema.default('70%'),
	detection: zod.enum(['fast', 'careful']).default('careful'),
	objective: objectiveSchema.prefault({}),
});

/**
A validated catalogue entry with its defaults filled in.
*/
export type Entry = zod.infer<typeof entrySchema>;

/**
A route of an entry: requests that match it go to the entry's service.
*/
export type Route = Entry['routes'][number];

/**
The limits of a service, and of what the system may send to it.
*/
export type Limits = Entry['limits'];

/**
Why an entry was refused. A refused entry changes nothing.
*/
export type EntryFailure = core.Failure<'entry-malformed' | 'entry-invalid' | 'entry-too-large'>;

/**
The formats in which an entry may be sent.
*/
export type EntryFormat = 'json' | 'yaml';

const PARSERS: Readonly<Record<EntryFormat, (text: string) => unknown>> = {
	json: text => JSON.parse(text) as unknown,
	// Aliases are disabled: with them, a small document could expand to any size.
	yaml: text => yaml.parse(text, {maxAliasCount: 0, logLevel: 'error'}) as unknown,
};

/**
A field of an entry that was refused, and why. `path` is empty for the entry as a whole, `routes.0.class` for a field of its first route.
*/
export type EntryIssue = {
	readonly path: string;
	readonly message: string;
};

/**
Validates a value as an entry and fills in the defaults. The failure names the first invalid field.
*/
export function parseEntry(value: unknown): results.Result<Entry, EntryFailure> {
	return checkEntry(value).mapErr(([issue]) => {
		const path = issue === undefined || issue.path === '' ? 'The entry' : issue.path;
		return core.createFailure('entry-invalid', `${path}: ${issue?.message ?? 'is not valid'}.`);
	});
}

/**
Validates a value as an entry and fills in the defaults, or returns all its invalid fields.
*/
export function checkEntry(value: unknown): results.Result<Entry, readonly EntryIssue[]> {
	const parsed = entrySchema.safeParse(applyRouteDefaults(value));
	return parsed.success ? results.Ok(parsed.data) : results.Err(listIssues(parsed.error));
}

function listIssues(error: zod.ZodError): readonly EntryIssue[] {
	return error.issues.flatMap(issue => issue.code === 'unrecognized_keys'
		? issue.keys.map(key => ({path: [...issue.path, key].join('.'), message: 'Unrecognized key'}))
		: [{path: issue.path.join('.'), message: issue.message}]);
}

/**
Copies the `class` and `requireIdempotencyKey` of an entry to those of its routes that do not set them.
*/
function applyRouteDefaults(value: unknown): unknown {
	if (!isRecord(value) || !Array.isArray(value.routes)) {
		return value;
	}

	const {class: requestClass, requireIdempotencyKey, ...entry} = value;
	const defaults = {
		...requestClass !== undefined && {class: requestClass},
		...requireIdempotencyKey !== undefined && {requireIdempotencyKey},
	};
	return {
		...entry,
		routes: value.routes.map((route: unknown) => isRecord(route) ? {...defaults, ...route} : route),
	};
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
Parses and validates an entry from its text.
*/
export function parseEntryText(text: string, format: EntryFormat): results.Result<Entry, EntryFailure> {
	const failure = findSizeFailure(text);
	if (failure !== undefined) {
		return results.Err(failure);
	}

	const document = results.Result.wrap(() => PARSERS[format](text));
	return document.isErr() ? results.Err(core.createFailure('entry-malformed', `The entry is not well-formed ${format.toUpperCase()}.`)) : parseEntry(document.value);
}

/**
Returns a failure if the text of an entry is too large.
*/
export function findSizeFailure(text: string): core.Failure<'entry-too-large'> | undefined {
	return buffer.Buffer.byteLength(text) > MAX_ENTRY_BYTES
		? core.createFailure('entry-too-large', `The entry is larger than ${MAX_ENTRY_BYTES} bytes.`)
		: undefined;
}
