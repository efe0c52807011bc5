/**
Chooses the service of a request whose route is split over several services by weight.

Each host uses smooth weighted round-robin instead of a random choice: over 200 requests, a random 10% lies between 6% and 14% of each
host's requests, with round-robin between 9.5% and 10.5%.
*/
import type {GenerationRoute} from './generation.ts';

/**
Returns the service of the next request of a route.
*/
export type ServiceChooser = (route: GenerationRoute) => string;

/**
Creates a chooser (smooth weighted round-robin). Its credits are kept per route object.

@param random Uniform in [0, 1): chooses the share that a host begins with, so that hosts with few requests do not all begin with the
same share.
*/
export function createServiceChooser(random: () => number): ServiceChooser {
	const credits = new WeakMap<GenerationRoute, number[]>();
	return route => {
		const {shares} = route;
		if (shares.length === 1) {
			return shares[0]!.service;
		}

		const total = shares.reduce((sum, share) => sum + share.weight, 0);
		const routeCredits = credits.get(route) ?? createInitialCredits(route, total, random);
		credits.set(route, routeCredits);
		let best = 0;
		for (const [index, share] of shares.entries()) {
			routeCredits[index]! += share.weight;
			best = routeCredits[index]! > routeCredits[best]! ? index : best;
		}

		routeCredits[best]! -= total;
		return shares[best]!.service;
	};
}

function createInitialCredits({shares}: GenerationRoute, total: number, random: () => number): number[] {
	const start = random() * total;
	let cumulativeWeight = 0;
	let first = 0;
	for (const [index, share] of shares.entries()) {
		first = cumulativeWeight <= start && share.weight > 0 ? index : first;
		cumulativeWeight += share.weight;
	}

	return shares.map((_share, index) => index === first ? total / 2 : 0);
}
