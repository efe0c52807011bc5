/**
Checks a generation before it is sent, for what can have no effect and for limits that contradict each other.
*/
import type {Generation} from '../generation.ts';
import {findContradictions} from './limit-checks.ts';
import {findUnmatchedRoutes} from './route-checks.ts';
import {findUnusedServices} from './service-checks.ts';
import type {GenerationWarning} from './warnings.ts';

/**
Finds all that a generation states without effect.
*/
export function findWarnings(generation: Generation): readonly GenerationWarning[] {
	return [...findUnmatchedRoutes(generation), ...findUnusedServices(generation), ...findContradictions(generation)];
}
