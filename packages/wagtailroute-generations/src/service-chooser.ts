/**
Which service of a split route a request goes to.

Each host goes round its shares in proportion to their weights instead of drawing lots: over 200 requests a drawn 10% lies
between 6% and 14%, a round-robin one between 9.5% and 10.5% of each host's requests.
*/
import type {GenerationRoute} from './generation.ts';

/**
Chooses the service of each next request of a route.
*/
export type ServiceChooser = (route: GenerationRoute) => string;

/**
Creates a chooser with fresh counts (smooth weighted round-robin). The counts go with the route's object.

@param random Uniform in [0, 1): where a host begins, so that hosts that carry few requests do not all begin with the same
share.
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
