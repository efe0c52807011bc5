/**
The catalogue of a scenario. A route that has several services is one route for each: the arrival says which.
*/
import type * as generations from 'wagtailroute-generations';
import type {Scenario} from './scenario.ts';

/**
Creates the catalogue of a scenario.
*/
export function createGeneration({routes, services, organisations}: Scenario): generations.Generation {
	return {
		version: 1,
		routes: routes.flatMap(route => route.services.map(service => ({
			name: `${route.name}/${service}`,
			host: 'lab',
			pathPrefix: `/${route.name}/${service}/`,
			class: route.requestClass,
			timeoutMilliseconds: route.timeoutMilliseconds,
			objectiveMilliseconds: route.objectiveMilliseconds,
			priority: route.priority,
			attempts: route.attempts,
			shares: [{service, weight: 1}],
			isPublic: true,
		}))),
		services: services.map(({name}) => ({name, connectionsPerUpstream: 100, healthPath: '/'})),
		...organisations.length > 0 && {
			organisations: organisations.map(({name, perSecond, burst}) => ({
				name, keys: [name], ratePerSecond: perSecond, burst,
			})),
		},
		limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
}
