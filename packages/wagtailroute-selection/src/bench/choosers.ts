/**
Policies of choosing an upstream that the bench compares. Each host has its own chooser, which knows only its own requests.
*/
import type * as utils from 'wagtailroute-utils';
import * as selection from '../index.ts';

/**
Chooser of one host. Upstreams are numbered from 0.
*/
export type Chooser = {
	readonly choose: (now: number, excluded: ReadonlySet<number>) => number | undefined;
	readonly begin: (upstream: number, now: number) => void;
	readonly end: (upstream: number, ended: selection.EndedRequest) => void;
};

/**
The host of a chooser, and the sizes of the simulated fleet.
*/
export type ChooserOptions = {
	readonly host: number;
	readonly hosts: number;
	readonly upstreams: number;
	readonly slots: number;
	readonly failureDomains: number;
	readonly random: utils.Random;
};

/**
Name of a policy.
*/
export type ChooserName = 'random' | 'least-outstanding' | 'power-of-two' | 'selector without shares' | 'selector';

/**
Policies by name. `power-of-two` weights requests in flight by peak-EWMA latency. `selector` is the selector of this package.
*/
export const CHOOSERS: Readonly<Record<ChooserName, (options: ChooserOptions) => Chooser>> = {
	random: options => createOutstandingChooser(options, candidates =>
		candidates[Math.floor(options.random() * candidates.length)]!.upstream),
	'least-outstanding': options => createOutstandingChooser(options, candidates => {
		const least = Math.min(...candidates.map(({outstanding}) => outstanding));
		const tied = candidates.filter(({outstanding}) => outstanding === least);
		return tied[Math.floor(options.random() * tied.length)]!.upstream;
	}),
	'power-of-two': createPowerOfTwoChooser,
	'selector without shares': options => createSelectorChooser(options, {count: 1, rank: 0}),
	selector: options => createSelectorChooser(options, {count: options.hosts, rank: options.host}),
};

type Candidate = {readonly upstream: number; readonly outstanding: number};

function createOutstandingChooser(options: ChooserOptions, pick: (candidates: readonly Candidate[]) => number): Chooser {
	const counts = Array.from({length: options.upstreams}, () => 0);
	return {
		choose(_now, excluded) {
			const candidates = counts
				.map((outstanding, upstream) => ({upstream, outstanding}))
				.filter(({upstream, outstanding}) => outstanding < options.slots && !excluded.has(upstream));
			return candidates.length === 0 ? undefined : pick(candidates);
		},
		begin(upstream) {
			counts[upstream]!++;
		},
		end(upstream) {
			counts[upstream]!--;
		},
	};
}

const LATENCY_DECAY_MILLISECONDS = 3000;

function createPowerOfTwoChooser(options: ChooserOptions): Chooser {
	const latencies = Array.from({length: options.upstreams}, () => ({milliseconds: 1, at: 0}));
	const getCost = ({upstream, outstanding}: Candidate): number => (outstanding + 1) * latencies[upstream]!.milliseconds;
	const outstandingChooser = createOutstandingChooser(options, candidates => {
		const left = candidates[Math.floor(options.random() * candidates.length)]!;
		const right = candidates[Math.floor(options.random() * candidates.length)]!;
		return getCost(right) < getCost(left) ? right.upstream : left.upstream;
	});
	return {
		...outstandingChooser,
		end(upstream, ended) {
			outstandingChooser.end(upstream, ended);
			if (ended.result !== 'success') {
				return;
			}

			const {milliseconds, at} = latencies[upstream]!;
			const weight = Math.exp((at - ended.now) / LATENCY_DECAY_MILLISECONDS);
			const decayed = (milliseconds * weight) + (ended.latencyMilliseconds * (1 - weight));
			latencies[upstream] = {milliseconds: Math.max(ended.latencyMilliseconds, decayed), at: ended.now};
		},
	};
}

function createSelectorChooser(options: ChooserOptions, position: selection.CarrierPosition): Chooser {
	const selector = selection.createSelector({localFailureDomain: getFailureDomain(options.host, options.failureDomains)});
	const ids = Array.from({length: options.upstreams}, (_, upstream) => String(upstream).padStart(3, '0'));
	selector.setUpstreams(ids.map((id, upstream) => ({
		id,
		failureDomain: getFailureDomain(upstream, options.failureDomains),
		slots: options.slots,
		state: 'serving',
		ejectionState: 'in',
	})), position);
	return {
		choose(now, excluded) {
			const chosen = selector.choose({
				now,
				random: options.random,
				excluded: new Set(Array.from(excluded, upstream => ids[upstream]!)),
			});
			return chosen === undefined ? undefined : Number(chosen);
		},
		begin(upstream, now) {
			selector.begin(ids[upstream]!, now);
		},
		end(upstream, ended) {
			selector.end(ids[upstream]!, ended);
		},
	};
}

/**
Returns the failure domain of the host or upstream with the given number.
*/
export function getFailureDomain(index: number, failureDomains: number): string {
	return `domain ${index % failureDomains}`;
}
