/**
Checks of services and shares that get no requests.
*/
import type {Generation} from '../generation.ts';
import type {GenerationWarning} from './warnings.ts';

/**
Finds services without requests: those of shares without weight, those that no route names, and those that a later one replaces.
*/
export function findUnusedServices(generation: Pick<Generation, 'routes' | 'services'>): readonly GenerationWarning[] {
	return [...findSharesWithoutWeight(generation), ...findRepeatedServices(generation), ...findUnnamedServices(generation)];
}

function findSharesWithoutWeight({routes}: Pick<Generation, 'routes'>): readonly GenerationWarning[] {
	return routes.flatMap(({shares}, index) => shares.flatMap(({service, weight}, shareIndex): readonly GenerationWarning[] => weight > 0
		? []
		: [{
			code: 'share-without-weight', path: ['routes', index, 'shares', shareIndex, 'weight'], message: `${service} gets no requests of the route.`,
		}]));
}

function findRepeatedServices({services}: Pick<Generation, 'services'>): readonly GenerationWarning[] {
	const latest = new Map(services.map(({name}, index) => [name, index]));
	return services.flatMap(({name}, index): readonly GenerationWarning[] => latest.get(name) === index
		? []
		: [{code: 'service-repeated', path: ['services', index], message: 'A later service with the same name replaces this one.'}]);
}

function findUnnamedServices({routes, services}: Pick<Generation, 'routes' | 'services'>): readonly GenerationWarning[] {
	const named = new Set(routes.flatMap(({shares}) => shares.map(({service}) => service)));
	return services.flatMap(({name}, index): readonly GenerationWarning[] => named.has(name)
		? []
		: [{code: 'service-unused', path: ['services', index], message: 'No route names the service.'}]);
}
