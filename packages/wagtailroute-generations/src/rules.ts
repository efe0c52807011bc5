/**
Rules that relate the items of a generation to each other.
*/
import type {GenerationIssue, GenerationOrganisation, GenerationRoute} from './generation.ts';

/**
An item with its position in its list, from 0.
*/
export type Indexed<Item> = {
	readonly index: number;
	readonly item: Item;
};

/**
The items that the rules apply to.
*/
export type GenerationItems = {
	readonly routes: ReadonlyArray<Indexed<GenerationRoute>>;
	readonly serviceNames: ReadonlySet<string>;
	readonly organisations: ReadonlyArray<Indexed<GenerationOrganisation>>;
};

/**
Finds all faults of items that are valid by themselves.
*/
export function findRuleIssues(items: GenerationItems): readonly GenerationIssue[] {
	return [
		...findUnknownServices(items),
		...findEmptyWeights(items),
		...findRouteConflicts(items),
		...findOrganisationConflicts(items),
	];
}

function findUnknownServices({routes, serviceNames}: GenerationItems): readonly GenerationIssue[] {
	return routes.flatMap(({index, item: {name, shares}}) => shares.flatMap(({service}, shareIndex): readonly GenerationIssue[] => serviceNames.has(service)
		? []
		: [{
			kind: 'service-unknown',
			path: ['routes', index, 'shares', shareIndex, 'service'],
			message: `The route ${name} names the unknown service ${service}.`,
		}]));
}

function findEmptyWeights({routes}: GenerationItems): readonly GenerationIssue[] {
	return routes
		.filter(({item}) => item.shares.every(share => share.weight === 0))
		.map(({index, item}) => ({kind: 'weights-empty', path: ['routes', index, 'shares'], message: `The weights of the route ${item.name} add up to 0.`}));
}

function findRouteConflicts({routes}: GenerationItems): readonly GenerationIssue[] {
	const routeKeys = new Set<string>();
	const issues: GenerationIssue[] = [];
	for (const {index, item} of routes) {
		const routeKey = `${item.host.toLowerCase()} ${item.pathPrefix}`;
		if (routeKeys.has(routeKey)) {
			issues.push({kind: 'route-conflict', path: ['routes', index, 'pathPrefix'], message: `Two routes have host and prefix ${routeKey}.`});
		}

		routeKeys.add(routeKey);
	}

	return issues;
}

/**
Finds organisations with the same name or key. With a shared key, one could act as the other. The messages do not contain the key.
*/
function findOrganisationConflicts({organisations}: GenerationItems): readonly GenerationIssue[] {
	const names = new Set<string>();
	const holders = new Map<string, string>();
	const issues: GenerationIssue[] = [];
	for (const {index, item: {name, keys}} of organisations) {
		if (names.has(name)) {
			issues.push({kind: 'organisation-conflict', path: ['organisations', index, 'name'], message: `Two organisations have the name ${name}.`});
		}

		names.add(name);
		for (const [keyIndex, key] of keys.entries()) {
			const holder = holders.get(key) ?? name;
			if (holder !== name) {
				issues.push({
					kind: 'key-conflict', path: ['organisations', index, 'keys', keyIndex], message: `The organisations ${holder} and ${name} share a key.`,
				});
			}

			holders.set(key, holder);
		}
	}

	return issues;
}
