/**
A generation: the whole catalogue as one document with its own version, put in force as one. It serves operators who keep their
catalogue elsewhere and send all of it; the package `catalogue` changes entries one by one.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';
import {findRuleIssues, type GenerationItems, type Indexed} from './rules.ts';

const classSchema = zod.enum(['read', 'idempotent', 'non-idempotent', 'upload']);

const shareSchema = zod.object({
	service: zod.string().min(1),
	/**
	Weight of the service's part of the requests, relative to the other shares of the route.
	*/
	weight: zod.number().nonnegative(),
});

const routeSchema = zod.object({
	name: zod.string(),
	host: zod.string().min(1),
	pathPrefix: zod.string().startsWith('/'),
	class: classSchema,
	/**
	Maximum time in milliseconds that a caller waits.
	*/
	timeoutMilliseconds: zod.number().positive(),
	/**
	Target latency in milliseconds: an answer within this time is worth the most.
	*/
	objectiveMilliseconds: zod.number().positive(),
	/**
	Rank, 0 is the highest.
	*/
	priority: zod.int(),
	/**
	Maximum number of upstreams that one request is sent to.
	*/
	attempts: zod.int().min(1),
	shares: zod.array(shareSchema).min(1),
	/**
	Whether callers need no key even if the generation has organisations.
	*/
	isPublic: zod.boolean().optional(),
});

const organisationSchema = zod.object({
	name: zod.string().min(1),
	keys: zod.array(zod.string().min(1)),
	/**
	Rank of its requests, which overrides the rank of their route; absent: the rank of the route applies.
	*/
	priority: zod.int().optional(),
	/**
	Requests per second over the whole fleet, 0 for no limit.
	*/
	ratePerSecond: zod.number().nonnegative(),
	/**
	Number of requests beyond the rate that may arrive at once.
	*/
	burst: zod.number().nonnegative(),
});

const serviceSchema = zod.object({
	name: zod.string().min(1),
	healthPath: zod.string(),
	connectionsPerUpstream: zod.int().min(1),
});

const callerLimitsSchema = zod.object({
	headerBytes: zod.int().positive(),
	bodyBytes: zod.int().nonnegative(),
	headerMilliseconds: zod.number().positive(),
	idleMilliseconds: zod.number().positive(),
});

const generationSchema = zod.object({
	version: zod.int().nonnegative(),
	routes: zod.array(routeSchema),
	services: zod.array(serviceSchema),
	/**
	Organisations and their keys. Absent: requests need no key.
	*/
	organisations: zod.array(organisationSchema).optional(),
	limits: callerLimitsSchema,
});

const looseListSchema = zod.array(zod.unknown()).catch([]);

/**
The lists of a generation whose items are validated one by one.
*/
const looseSchema = zod.object({routes: looseListSchema, services: looseListSchema, organisations: looseListSchema})
	.catch({routes: [], services: [], organisations: []});

const namedSchema = zod.object({name: zod.string()});

/**
A service of a route with its weight.
*/
export type Share = zod.output<typeof shareSchema>;

/**
A route of a generation.
*/
export type GenerationRoute = zod.output<typeof routeSchema>;

/**
A service of a generation.
*/
export type GenerationService = zod.output<typeof serviceSchema>;

/**
An organisation, whose callers are identified by the keys that they send.
*/
export type GenerationOrganisation = zod.output<typeof organisationSchema>;

/**
Limits on the size of a caller's request and on the time that it may take to send it or stay idle.
*/
export type CallerLimits = zod.output<typeof callerLimitsSchema>;

/**
A validated generation.
*/
export type Generation = zod.output<typeof generationSchema>;

/**
Why a generation was refused. A refused generation changes nothing.
*/
export type GenerationFailure = core.Failure<'generation-malformed' | 'service-unknown' | 'route-conflict' | 'weights-empty' | 'organisation-conflict' | 'key-conflict'>;

/**
A fault of a generation, at the path of its field.
*/
export type GenerationIssue = {
	readonly kind: GenerationFailure['kind'];
	readonly path: readonly PropertyKey[];
	readonly message: string;
};

/**
Validates a value as a generation. The failure describes the first fault.
*/
export function parseGeneration(value: unknown): results.Result<Generation, GenerationFailure> {
	return checkGeneration(value).mapErr(([issue]) => toFailure(issue!));
}

/**
Validates a value as a generation, or returns all its faults, at least one. Rules that relate items to each other are applied to the items
that are valid by themselves.
*/
export function checkGeneration(value: unknown): results.Result<Generation, readonly GenerationIssue[]> {
	const parsed = generationSchema.safeParse(value);
	const issues = parsed.success ? findRuleIssues(getItems(parsed.data)) : [...listSchemaIssues(parsed.error), ...findRuleIssues(parseItems(value))];
	return parsed.success && issues.length === 0 ? results.Ok(parsed.data) : results.Err(issues);
}

function toFailure({kind, path, message}: GenerationIssue): GenerationFailure {
	return core.createFailure(kind, kind === 'generation-malformed' ? `${path.join('.')}: ${message}` : message);
}

function listSchemaIssues({issues}: zod.ZodError): readonly GenerationIssue[] {
	return issues.map(({path, message}) => ({kind: 'generation-malformed', path, message}));
}

function getItems({routes, services, organisations = []}: Generation): GenerationItems {
	return {
		routes: routes.map((item, index) => ({index, item})),
		serviceNames: new Set(services.map(service => service.name)),
		organisations: organisations.map((item, index) => ({index, item})),
	};
}

function parseItems(value: unknown): GenerationItems {
	const {routes, services, organisations} = looseSchema.parse(value);
	return {
		routes: parseList(routeSchema, routes),
		serviceNames: new Set(services.map(service => namedSchema.safeParse(service).data?.name).filter(name => name !== undefined)),
		organisations: parseList(organisationSchema, organisations),
	};
}

function parseList<Item>(schema: zod.ZodType<Item>, list: readonly unknown[]): ReadonlyArray<Indexed<Item>> {
	return list.flatMap((value, index) => {
		const parsed = schema.safeParse(value);
		return parsed.success ? [{index, item: parsed.data}] : [];
	});
}
