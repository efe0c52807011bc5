/**
The sequential test behind every decision: a CUSUM of log likelihood ratios, one for each way in which an upstream can
look sick.

Each symptom is a yes-or-no property of a request (it failed, it was slow, it stalled). Normal upstreams show it at about
the rate of their peers. The test sums, over all requests, how much likelier each is under a sick rate than under the
normal one, and starts over whenever the sum falls below zero. So evidence gathers at the speed of the traffic: few
requests are enough for a hard fault, and a mild one is found after more of them, with the same rate of false alarms.
*/

/**
A way to look sick.
*/
export type Symptom = 'errors' | 'slowness' | 'stalls';

/**
All symptoms, hardest first.
*/
export const SYMPTOMS: readonly Symptom[] = ['errors', 'stalls', 'slowness'];

/**
Requests seen, and how many of them showed the symptom.
*/
export type Sample = {readonly count: number; readonly bad: number};

/**
Samples of all symptoms.
*/
export type Samples = Readonly<Record<Symptom, Sample>>;

/**
Evidence in nats against each alternative of a symptom.
*/
export type SymptomEvidence = readonly number[];

/**
Evidence for all symptoms.
*/
export type EvidenceBySymptom = Readonly<Record<Symptom, SymptomEvidence>>;

/**
Alternatives: extra chance, above the normal rate, that a request of a sick upstream shows the symptom. The lowest ones
come first; a ramping upstream is only held against the last.
*/
export const ALTERNATIVES: Readonly<Record<Symptom, readonly number[]>> = {
	errors: [0.04, 0.2, 0.6],
	slowness: [0.25, 0.6],
	stalls: [0.1, 0.6],
};

/**
No requests seen.
*/
export const EMPTY_SAMPLE: Sample = {count: 0, bad: 0};

/**
No requests seen, for all symptoms.
*/
export const EMPTY_SAMPLES: Samples = {errors: EMPTY_SAMPLE, slowness: EMPTY_SAMPLE, stalls: EMPTY_SAMPLE};

/**
No evidence.
*/
export const EMPTY_EVIDENCE: EvidenceBySymptom = {errors: [0, 0, 0], slowness: [0, 0], stalls: [0, 0]};

// Keeps the logarithms finite when the peers nearly all fail.
const MAX_RATE = 0.98;

// Keeps the logarithms finite before the first tick set a normal rate.
const MIN_RATE = 0.001;

/**
Log likelihood ratio in nats of a sample: sick, with the extra chance, against normal.
*/
export function getLogLikelihoodRatio(sample: Sample, normalRate: number, extra: number): number {
	const normal = Math.min(normalRate, MAX_RATE);
	const sick = 1 - ((1 - normal) * (1 - extra));
	const good = sample.count - sample.bad;
	return (sample.bad * Math.log(sick / normal)) + (good * Math.log((1 - sick) / (1 - normal)));
}

/**
Adds a sample to the evidence: at most `gain` at a time, and never below zero or above `ceiling`, so that a recovered
upstream isn't held by old evidence for long.
*/
export function addSample(
	evidence: SymptomEvidence,
	symptom: Symptom,
	{sample, normalRate, maxGain: gain, maxEvidence: ceiling}: {
		readonly sample: Sample;
		readonly normalRate: number;
		readonly maxGain: number;
		readonly maxEvidence: number;
	},
): SymptomEvidence {
	// Nearly all samples of a healthy service: no evidence before, and none to add.
	if (sample.bad === 0 && (sample.count === 0 || isZero(evidence))) {
		return evidence;
	}

	return evidence.map((value, index) => {
		const ratio = getLogLikelihoodRatio(sample, normalRate, ALTERNATIVES[symptom][index]!);
		return Math.min(ceiling, Math.max(0, value + Math.min(gain, ratio)));
	});
}

/**
Strongest evidence for a symptom.
*/
export function getStrongestEvidence(evidence: SymptomEvidence): number {
	return Math.max(...evidence);
}

/**
Adds two samples.
*/
export function mergeSamples(left: Sample, right: Sample): Sample {
	return {count: left.count + right.count, bad: left.bad + right.bad};
}

/**
Takes samples out of a sum that they are part of.
*/
export function subtractSamples(sum: Samples, part: Samples): Samples {
	return {
		errors: subtractSample(sum.errors, part.errors),
		slowness: subtractSample(sum.slowness, part.slowness),
		stalls: subtractSample(sum.stalls, part.stalls),
	};
}

/**
Scales a sample, as a decaying window does.
*/
export function scaleSample(sample: Sample, factor: number): Sample {
	return {count: sample.count * factor, bad: sample.bad * factor};
}

/**
Builds a value for each symptom.
*/
export function mapSymptoms<Value>(build: (symptom: Symptom) => Value): Readonly<Record<Symptom, Value>> {
	return {errors: build('errors'), slowness: build('slowness'), stalls: build('stalls')};
}

/**
Adds up samples of all symptoms.
*/
export function sumSamples(all: Iterable<Samples>): Samples {
	let sum = EMPTY_SAMPLES;
	for (const samples of all) {
		sum = sum === EMPTY_SAMPLES ? samples : mergeAll(sum, samples);
	}

	return sum;
}

/**
Adds two samples of all symptoms, the first scaled.
*/
export function scaleAndAddAll(left: Samples, factor: number, right: Samples): Samples {
	return {
		errors: scaleAndAdd(left.errors, factor, right.errors),
		slowness: scaleAndAdd(left.slowness, factor, right.slowness),
		stalls: scaleAndAdd(left.stalls, factor, right.stalls),
	};
}

/**
Whether nothing speaks for any alternative.
*/
export function isEmpty({errors, slowness, stalls}: EvidenceBySymptom): boolean {
	return isZero(errors) && isZero(slowness) && isZero(stalls);
}

/**
Share of requests that showed the symptom. Less than one request, what a decayed window is left with, counts as one.
*/
export function getRate(sample: Sample): number {
	return sample.bad / Math.max(1, sample.count);
}

/**
Takes back what failures that are no evidence added.
*/
export function withdrawFailures(evidence: SymptomEvidence, symptom: Symptom, count: number, normalRate: number): SymptomEvidence {
	return evidence.map((value, index) => {
		const added = getLogLikelihoodRatio({count, bad: count}, Math.max(normalRate, MIN_RATE), ALTERNATIVES[symptom][index]!);
		return Math.max(0, value - added);
	});
}

function isZero(evidence: SymptomEvidence): boolean {
	for (const value of evidence) {
		if (value !== 0) {
			return false;
		}
	}

	return true;
}

function mergeAll(left: Samples, right: Samples): Samples {
	return {
		errors: mergeSamples(left.errors, right.errors),
		slowness: mergeSamples(left.slowness, right.slowness),
		stalls: mergeSamples(left.stalls, right.stalls),
	};
}

function scaleAndAdd(left: Sample, factor: number, right: Sample): Sample {
	return {count: (left.count * factor) + right.count, bad: (left.bad * factor) + right.bad};
}

function subtractSample(sum: Sample, part: Sample): Sample {
	return {count: sum.count - part.count, bad: sum.bad - part.bad};
}
