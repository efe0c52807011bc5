/**
The two operating points of detection: the same statistical tests with different thresholds.

`fast` requires less evidence, for services whose callers suffer most from a sick upstream. `careful` requires more
evidence and a greater difference from the peers, for services that suffer most from a false ejection.
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
	Evidence at which an ejection is requested: a log likelihood ratio in nats.
	*/
	readonly threshold: number;
	/**
	Largest gain of evidence in one tick, as a fraction of the threshold. One burst, such as the reset of all slots at once,
	must not be enough.
	*/
	readonly maxGainFraction: number;
	/**
	Multiple of the peers' rate of a symptom that still counts as normal.
	*/
	readonly peerRateFactor: number;
	/**
	Rates of symptoms that count as normal even if the peers show lower ones.
	*/
	readonly minNormalRates: Readonly<Record<symptoms.Symptom, number>>;
	/**
	Smallest ratio of the median latency to the peers' median at which slowness is a finding.
	*/
	readonly minSlownessRatio: number;
	/**
	How long a finding must last before an ejection is requested, in milliseconds: longer than a pause of a healthy server.
	*/
	readonly minFindingMilliseconds: Readonly<Record<symptoms.Symptom, number>>;
	/**
	Evidence of this host alone, against the strongest alternative, at which it steers away, in nats.
	*/
	readonly steeringThreshold: number;
	/**
	Time from an ejection to its trial, in milliseconds. It doubles with each consecutive ejection, up to the maximum.
	*/
	readonly initialEjectionMilliseconds: number;
	readonly maxEjectionMilliseconds: number;
	/**
	Successful trial requests after which re-admission is requested.
	*/
	readonly requiredTrialSuccesses: number;
	/**
	Time after a refused ejection before it is requested again, in milliseconds.
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
