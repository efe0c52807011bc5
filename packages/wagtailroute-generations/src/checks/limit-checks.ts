/**
Checks of limits that contradict each other.
*/
import * as core from 'wagtailroute-core';
import type {Generation, GenerationOrganisation, GenerationRoute} from '../generation.ts';
import type {GenerationWarning, GenerationWarningCode} from './warnings.ts';

type LimitCheck<Item> = {
	readonly code: GenerationWarningCode;
	readonly field: keyof Item & string;
	readonly isContradiction: (item: Item) => boolean;
	readonly describe: (item: Item) => string;
};

const ROUTE_CHECKS: ReadonlyArray<LimitCheck<GenerationRoute>> = [
	{
		code: 'timeout-below-objective',
		field: 'timeoutMilliseconds',
		isContradiction: route => route.timeoutMilliseconds < route.objectiveMilliseconds,
		describe: route => `Requests end after ${route.timeoutMilliseconds} ms, before the objective of ${route.objectiveMilliseconds} ms is missed.`,
	},
	{
		code: 'attempts-beyond-timeout',
		field: 'attempts',
		isContradiction: hasTooManyAttempts,
		describe: route =>
			`${route.attempts} attempts of ${route.objectiveMilliseconds} ms each, the objective, take longer than the timeout of ${route.timeoutMilliseconds} ms.`,
	},
];

const ORGANISATION_CHECKS: ReadonlyArray<LimitCheck<GenerationOrganisation>> = [
	{
		code: 'burst-without-rate',
		field: 'burst',
		isContradiction: ({ratePerSecond, burst}) => ratePerSecond === 0 && burst > 0,
		describe: ({burst}) => `A rate of 0 is no limit, so the burst of ${burst} has no effect.`,
	},
	{
		code: 'burst-below-one-request',
		field: 'burst',
		// A bucket holds one request at least.
		isContradiction: ({ratePerSecond, burst}) => ratePerSecond > 0 && burst < 1,
		describe: ({burst}) => `A burst of ${burst} is less than the one request that is admitted at once in any case.`,
	},
];

/**
Finds limits that contradict each other. An organisation without keys has no requests to limit.
*/
export function findContradictions({routes, organisations = []}: Pick<Generation, 'routes' | 'organisations'>): readonly GenerationWarning[] {
	return [
		...routes.flatMap((route, index) => checkItem(ROUTE_CHECKS, ['routes', index], route)),
		...organisations.flatMap((organisation, index) => organisation.keys.length === 0 ? [] : checkItem(ORGANISATION_CHECKS, ['organisations', index], organisation)),
	];
}

function checkItem<Item>(
	checks: ReadonlyArray<LimitCheck<Item>>,
	path: readonly ['routes' | 'organisations', number],
	item: Item,
): readonly GenerationWarning[] {
	return checks
		.filter(check => check.isContradiction(item))
		.map(check => ({code: check.code, path: [...path, check.field], message: check.describe(item)}));
}

/**
Returns whether a request may use up its timeout before its last attempt, if each attempt takes the objective. Requests that aren't
idempotent have further attempts only after those that were not run, which take no time. An objective that equals the timeout is the
default of a document that states none, and doesn't tell the time of an attempt.
*/
function hasTooManyAttempts({class: requestClass, attempts, timeoutMilliseconds, objectiveMilliseconds}: GenerationRoute): boolean {
	return core.isIdempotent(requestClass) && objectiveMilliseconds < timeoutMilliseconds && attempts * objectiveMilliseconds > timeoutMilliseconds;
}
