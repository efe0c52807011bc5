/**
The two operating points of detection: the same tests with other thresholds.

`fast` asks for less evidence, for services whose callers suffer most from a sick upstream. `careful` asks for more, and
for a greater difference from the peers, for services that suffer most from an upstream wrongly taken out.
*/
import type * as symptoms from './symptoms.ts';

/**
Name of an operating point, as in the catalogue entry.
*/
export type OperatingPointName = 'fast' | 'careful';

/**
Thresholds of one operating point.
*/
export type OperatingPoint = {
	/**
	Evidence that asks for an ejection: a log likelihood ratio in nats.
	*/
	readonly threshold: number;
	/**
	Largest gain of evidence in one tick, as a part of the threshold. One burst, such as all slots reset at once, must not
	be enough.
	*/
	readonly maxGainFraction: number;
	/**
	Factor on the peers' rate that still counts as normal.
	*/
	readonly peerRateFactor: number;
	/**
	Rates that count as normal whatever the peers show.
	*/
	readonly minNormalRates: Readonly<Record<symptoms.Symptom, number>>;
	/**
	Smallest ratio of the median latency to that of the peers for slowness.
	*/
	readonly minSlownessRatio: number;
	/**
	How long a finding must last, in milliseconds: longer than a pause of a healthy server.
	*/
	readonly minFindingMilliseconds: Readonly<Record<symptoms.Symptom, number>>;
	/**
	Evidence of this host alone, for the hardest alternative, that makes it steer away, in nats.
	*/
	readonly steeringThreshold: number;
	/**
	First wait before a trial, in milliseconds; it doubles with each ejection up to the ceiling.
	*/
	readonly initialEjectionMilliseconds: number;
	readonly maxEjectionMilliseconds: number;
	/**
	Good requests on trial that ask for re-admission.
	*/
	readonly requiredTrialSuccesses: number;
	/**
	Wait after a denied grant before asking again, in milliseconds.
	*/
	readonly refusalBackoffMilliseconds: number;
};

/**
The operating points by name.
*/
export const OPERATING_POINTS: Readonly<Record<OperatingPointName, OperatingPoint>> = {
	fast: {
		threshold: 14,
		maxGainFraction: 0.6,
		peerRateFactor: 1.5,
		minNormalRates: {errors: 0.005, slowness: 0.16, stalls: 0.005},
		minSlownessRatio: 1.4,
		minFindingMilliseconds: {errors: 0, slowness: 1000, stalls: 500},
		steeringThreshold: 6,
		initialEjectionMilliseconds: 5000,
		maxEjectionMilliseconds: 300_000,
		requiredTrialSuccesses: 15,
		refusalBackoffMilliseconds: 2000,
	},
	careful: {
		threshold: 16,
		maxGainFraction: 0.4,
		peerRateFactor: 2,
		minNormalRates: {errors: 0.005, slowness: 0.2, stalls: 0.005},
		minSlownessRatio: 1.4,
		minFindingMilliseconds: {errors: 0, slowness: 1600, stalls: 1000},
		steeringThreshold: 6,
		initialEjectionMilliseconds: 10_000,
		maxEjectionMilliseconds: 600_000,
		requiredTrialSuccesses: 30,
		refusalBackoffMilliseconds: 5000,
	},
};
