/**
Expected size of the responses of a route, and what follows from it for the choice of an upstream.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {MAX_RESPONSE_BYTES_ROUTES} from './constants.ts';
import {DEFAULT_POLICY, type Policy} from './policy.ts';
import {hasShortfall, type Service} from './services.ts';
import type {SlotRequest} from './slot-requests.ts';

/**
What a dispatcher expects of the response to a request.
*/
export type ExpectedResponse = {
	/**
	Moving average of the route; 0 without measurements.
	*/
	readonly bytes: number;
	/**
	How far the response counts as large, from 0 (small) to 1.
	*/
	readonly largePart: number;
	/**
	Whether exploring an upstream of another failure domain is left to other requests, to which it costs less: recent ones of that domain or with a
	small response. Always false for a small response.
	*/
	readonly isLeftToOthers: (failureDomain: core.FailureDomain) => boolean;
	/**
	Whether a rested upstream of another failure domain keeps its whole gain: for a small response, and while requests of the service fail and no
	other requests explore it.
	*/
	readonly isExplored: (failureDomain: core.FailureDomain) => boolean;
};

/**
Recent requests that explore upstreams at little cost.
*/
export type CheapExplorers = {
	/**
	Time of the last idempotent first attempt with a small response.
	*/
	lastSmallAt: number;
	/**
	Times of the last idempotent first attempts, by their failure domain.
	*/
	readonly lastAtByDomain: Map<core.FailureDomain, number>;
};

export function createCheapExplorers(): CheapExplorers {
	return {lastSmallAt: -Infinity, lastAtByDomain: new Map()};
}

/**
Records an idempotent first attempt.
*/
export function recordExplorer(service: Service, request: SlotRequest, now: number): void {
	const {cheapExplorers, policy} = service;
	cheapExplorers.lastAtByDomain.set(request.failureDomain, now);
	if (getLargePart(getResponseBytes(service, request), policy) === 0) {
		cheapExplorers.lastSmallAt = now;
	}
}

/**
Returns the moving average of the response bytes of the request's route; 0 without measurements.
*/
export function getResponseBytes({responseBytesByRoute}: Service, {route}: Pick<SlotRequest, 'route'>): number {
	return responseBytesByRoute.get(route) ?? 0;
}

/**
Updates the moving average of a route with a measurement. A value that is no size is ignored: it comes from another host.
*/
export function recordResponseBytes({responseBytesByRoute}: Service, route: string, bytes: unknown): void {
	if (isByteCount(bytes)) {
		utils.setBounded(responseBytesByRoute, route, averageResponseBytes(responseBytesByRoute.get(route), bytes), MAX_RESPONSE_BYTES_ROUTES);
	}
}

function isByteCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/**
Returns the moving average after one more measurement. A measurement counts for a multiple of the average at most, so that a single upstream that
claims huge responses doesn't make a route with small ones count as large.
*/
export function averageResponseBytes(known: number | undefined, bytes: number): number {
	const {
		mostResponseBytes, responseBytesShare, responseGrowth, smallResponseBytes,
	} = DEFAULT_POLICY;
	const bounded = Math.min(bytes, mostResponseBytes, known === undefined ? Infinity : Math.max(known, smallResponseBytes) * responseGrowth);
	return known === undefined ? bounded : (known * (1 - responseBytesShare)) + (bounded * responseBytesShare);
}

/**
Returns how far a response counts as large, from 0 to 1.
*/
export function getLargePart(bytes: number, {smallResponseBytes, largeResponseBytes}: Policy): number {
	return Math.min(1, Math.max(0, (bytes - smallResponseBytes) / (largeResponseBytes - smallResponseBytes)));
}

/**
Returns what is expected of the response to a request.
*/
export function describeResponse(service: Service, request: SlotRequest, now: number): ExpectedResponse {
	const bytes = getResponseBytes(service, request);
	const largePart = getLargePart(bytes, service.policy);
	if (largePart === 0) {
		return {
			bytes, largePart, isLeftToOthers: () => false, isExplored: () => true,
		};
	}

	const {cheapExplorers: {lastSmallAt, lastAtByDomain}, policy: {repeatableMilliseconds}} = service;
	const isRecent = (at: number) => now - at < repeatableMilliseconds;
	const isLeftToOthers = (failureDomain: core.FailureDomain) => failureDomain !== request.failureDomain
		&& (isRecent(lastSmallAt) || isRecent(lastAtByDomain.get(failureDomain) ?? -Infinity));
	return {
		bytes,
		largePart,
		isLeftToOthers,
		isExplored: failureDomain => !isLeftToOthers(failureDomain) && hasShortfall(service, now),
	};
}
