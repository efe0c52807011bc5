/**
The sequential test behind every decision: a CUSUM of log likelihood ratios for each symptom of a sick upstream.

A symptom is a yes-or-no property of a request (it failed, it was slow, it stalled). Normal upstreams show it at about
the rate of their peers. The test sums, over all requests, the log of how much likelier each request is under a sick rate
than under the normal one, and is reset to zero whenever the sum falls below zero. Evidence grows with the traffic: a few
requests are enough for a severe fault, and a mild one is found after more requests, with the same rate of false alarms.
*/

/**
A symptom of a sick upstream.
*/
export type Symptom = 'errors' | 'slowness' | 'stalls';

/**
All symptoms, the most severe first. An ejection request names the first one that justifies it.
*/
export const SYMPTOMS: readonly Symptom[] = ['errors', 'stalls', 'slowness'];

/**
Number of requests, and how many of them (`bad`) showed the symptom.
*/
export type Sample = {readonly count: number; readonly bad: number};

/**
Samples of all symptoms.
*/
export type Samples = Readonly<Record<Symptom, Sample>>;

/**
Evidence in nats for each alternative of a symptom, in the order of `ALTERNATIVES`.
*/
export type SymptomEvidence = readonly number[];

/**
Evidence for all symptoms.
*/
export type EvidenceBySymptom = Readonly<Record<Symptom, SymptomEvidence>>;

/**
Alternative hypotheses for each symptom: the additional probability, above the normal rate, that a request at a sick
upstream shows the symptom. In ascending order; a ramping upstream is only tested against the last one.
*/
export const ALTERNATIVES: Readonly<Record<Symptom, readonly number[]>> = {
	errors: [0.04, 0.2, 0.6],
	slowness: [0.25, 0.6],
	stalls: [0.1, 0.6],
};

/**
A sample without requests.
*/
export const EMPTY_SAMPLE: Sample = {count: 0, bad: 0};

/**
Samples without requests.
*/
export const EMPTY_SAMPLES: Samples = {errors: EMPTY_SAMPLE, slowness: EMPTY_SAMPLE, stalls: EMPTY_SAMPLE};

/**
No evidence for any symptom.
*/
export const EMPTY_EVIDENCE: EvidenceBySymptom = {errors: [0, 0, 0], slowness: [0, 0], stalls: [0, 0]};

// Keeps the logarithms finite when nearly all requests at the peers show the symptom.
const MAX_RATE = 0.98;

// Keeps the logarithms finite before the first tick sets a normal rate.
const MIN_RATE = 0.001;

/**
Returns the log likelihood ratio of a sample in nats: of a sick upstream, whose probability of the symptom is raised by
`extra`, to a normal one.
*/
export function getLogLikelihoodRatio(sample: Sample, normalRate: number, extra: number): number {
	const normal = Math.min(normalRate, MAX_RATE);
	const sick = 1 - ((1 - normal) * (1 - extra));
	const good = sample.count - sample.bad;
	return (sample.bad * Math.log(sick / normal)) + (good * Math.log((1 - sick) / (1 - normal)));
}

/**
Adds a sample to the evidence, which grows by at most `maxGain` and stays between zero and `maxEvidence`, so that old
evidence doesn't count against a recovered upstream for long.
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
	// The usual case in a healthy service: no evidence before, and none to add.
	if (sample.bad === 0 && (sample.count === 0 || isZero(evidence))) {
		return evidence;
	}

	return evidence.map((value, index) => {
		const ratio = getLogLikelihoodRatio(sample, normalRate, ALTERNATIVES[symptom][index]!);
		return Math.min(ceiling, Math.max(0, value + Math.min(gain, ratio)));
	});
}

/**
Returns the strongest evidence for a symptom over its alternatives.
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
Subtracts samples from a sum that includes them.
*/
export function subtractSamples(sum: Samples, part: Samples): Samples {
	return {
		errors: subtractSample(sum.errors, part.errors),
		slowness: subtractSample(sum.slowness, part.slowness),
		stalls: subtractSample(sum.stalls, part.stalls),
	};
}

/**
Multiplies the counts of a sample, as a decaying window does.
*/
export function scaleSample(sample: Sample, factor: number): Sample {
	return {count: sample.count * factor, bad: sample.bad * factor};
}

/**
Creates a value for each symptom.
*/
export function mapSymptoms<Value>(build: (symptom: Symptom) => Value): Readonly<Record<Symptom, Value>> {
	return {errors: build('errors'), slowness: build('slowness'), stalls: build('stalls')};
}

/**
Adds up samples symptom by symptom.
*/
export function sumSamples(all: Iterable<Samples>): Samples {
	let sum = EMPTY_SAMPLES;
	for (const samples of all) {
		sum = sum === EMPTY_SAMPLES ? samples : mergeAll(sum, samples);
	}

	return sum;
}

/**
Adds samples symptom by symptom, the first ones multiplied by a factor.
*/
export function scaleAndAddAll(left: Samples, factor: number, right: Samples): Samples {
	return {
		errors: scaleAndAdd(left.errors, factor, right.errors),
		slowness: scaleAndAdd(left.slowness, factor, right.slowness),
		stalls: scaleAndAdd(left.stalls, factor, right.stalls),
	};
}

/**
Returns whether there is no evidence for any alternative of any symptom.
*/
export function isEmpty({errors, slowness, stalls}: EvidenceBySymptom): boolean {
	return isZero(errors) && isZero(slowness) && isZero(stalls);
}

/**
Returns the fraction of requests that showed the symptom. Less than one request, as a decayed window may hold, counts as
one.
*/
export function getRate(sample: Sample): number {
	return sample.bad / Math.max(1, sample.count);
}

/**
Subtracts the evidence that the given number of failures added.
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
