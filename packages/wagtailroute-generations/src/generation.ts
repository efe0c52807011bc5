/**
A generation: the whole catalogue as one document with its own version, put in force as one. It serves operators who keep their
catalogue elsewhere and send all of it; the package `catalogue` changes entries one by one.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';

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
Validates a value as a generation.
*/
export function parseGeneration(value: unknown): results.Result<Generation, GenerationFailure> {
	const parsed = generationSchema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		return results.Err(core.createFailure('generation-malformed', `${issue.path.join('.')}: ${issue.message}`));
	}

	const failure = findUnknownService(parsed.data) ?? findEmptyWeights(parsed.data) ?? findRouteConflict(parsed.data) ?? findOrganisationConflict(parsed.data);
	return failure === undefined ? results.Ok(parsed.data) : results.Err(failure);
}

function findUnknownService({routes, services}: Generation): GenerationFailure | undefined {
	const known = new Set(services.map(service => service.name));
	for (const route of routes) {
		const unknown = route.shares.find(share => !known.has(share.service));
		if (unknown !== undefined) {
			return core.createFailure('service-unknown', `The route ${route.name} names the unknown service ${unknown.service}.`);
		}
	}

	return undefined;
}

function findEmptyWeights({routes}: Generation): GenerationFailure | undefined {
	const empty = routes.find(route => route.shares.every(share => share.weight === 0));
	return empty && core.createFailure('weights-empty', `The weights of the route ${empty.name} add up to 0.`);
}

function findRouteConflict({routes}: Generation): GenerationFailure | undefined {
	const routeKeys = new Set<string>();
	for (const route of routes) {
		const routeKey = `${route.host.toLowerCase()} ${route.pathPrefix}`;
		if (routeKeys.has(routeKey)) {
			return core.createFailure('route-conflict', `Two routes have host and prefix ${routeKey}.`);
		}

		routeKeys.add(routeKey);
	}

	return undefined;
}

/**
Finds two organisations with the same name or key. With a shared key, one could act as the other. The failure does not contain the key.
*/
function findOrganisationConflict({organisations = []}: Generation): GenerationFailure | undefined {
	const names = new Set<string>();
	const holders = new Map<string, string>();
	for (const {name, keys} of organisations) {
		if (names.has(name)) {
			return core.createFailure('organisation-conflict', `Two organisations have the name ${name}.`);
		}

		names.add(name);
		for (const key of keys) {
			const holder = holders.get(key) ?? name;
			if (holder !== name) {
				return core.createFailure('key-conflict', `The organisations ${holder} and ${name} share a key.`);
			}

			holders.set(key, name);
		}
	}

	return undefined;
}
