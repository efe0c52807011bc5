/**
A generation: the whole catalogue as one document with a version of its own, put in force as one. For operators who keep
their catalogue elsewhere and send it whole; entries are changed one by one in the package `catalogue`.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';

const classSchema = zod.enum(['read', 'idempotent', 'non-idempotent', 'upload']);

const shareSchema = zod.object({
	service: zod.string().min(1),
	/**
	Part of the requests, relative to the other shares of the route.
	*/
	weight: zod.number().nonnegative(),
});

const routeSchema = zod.object({
	name: zod.string(),
	host: zod.string().min(1),
	pathPrefix: zod.string().startsWith('/'),
	class: classSchema,
	/**
	Longest time in milliseconds that a caller waits.
	*/
	timeoutMilliseconds: zod.number().positive(),
	/**
	Time in milliseconds within which an answer is worth most.
	*/
	objectiveMilliseconds: zod.number().positive(),
	/**
	Rank, 0 is the highest.
	*/
	priority: zod.int(),
	/**
	Most upstreams that one request is sent to.
	*/
	attempts: zod.int().min(1),
	shares: zod.array(shareSchema).min(1),
	/**
	Whoever calls needs no key, also where the generation has organisations.
	*/
	isPublic: zod.boolean().optional(),
});

const organisationSchema = zod.object({
	name: zod.string().min(1),
	keys: zod.array(zod.string().min(1)),
	/**
	Rank of its requests, which goes before that of their route; absent: that of the route.
	*/
	priority: zod.int().optional(),
	/**
	Requests a second over the whole fleet, 0 for no limit.
	*/
	ratePerSecond: zod.number().nonnegative(),
	/**
	Requests beyond the rate that may come at once.
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
	Absent: requests need no key.
	*/
	organisations: zod.array(organisationSchema).optional(),
	limits: callerLimitsSchema,
});

/**
One service's part of a route.
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
An organisation whose members call, by the keys that they send.
*/
export type GenerationOrganisation = zod.output<typeof organisationSchema>;

/**
What a caller may send, and how long it may take or stay idle.
*/
export type CallerLimits = zod.output<typeof callerLimitsSchema>;

/**
A checked generation.
*/
export type Generation = zod.output<typeof generationSchema>;

/**
Why a generation was refused. Nothing was changed.
*/
export type GenerationFailure = core.Failure<'generation-malformed' | 'service-unknown' | 'route-conflict' | 'weights-empty' | 'organisation-conflict' | 'key-conflict'>;

/**
Checks a value that claims to be a generation.
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
A key that two organisations hold would let one act as the other. The failure does not tell the key.
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
