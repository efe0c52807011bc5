/**
Bench of detection: detection time, false ejections and harmed requests for each kind of fault, at the sizes of the users'
services, compared with two baseline policies. Deterministic: seeded, in simulated time.
*/
import * as simulation from './simulation.ts';
import * as policies from './policies.ts';

/**
One row of the table.
*/
export type Row = {
	readonly size: string;
	readonly scenario: string;
	readonly policy: policies.PolicyName;
	/**
	Mean milliseconds from the onset until nine tenths of the hosts concerned no longer send to the sick upstream; null when
	some run did not get that far, or the scenario has nothing to detect.
	*/
	readonly detectionMilliseconds: number | null;
	readonly missed: number;
	readonly runs: number;
	/**
	Healthy upstreams taken out of service per hour.
	*/
	readonly falsePerHour: number;
	/**
	Mean number of requests per run that the fault made fail or slow down.
	*/
	readonly harmed: number;
};

type Goal = 'upstream' | 'path' | 'self' | 'none';

type Scenario = {
	readonly name: string;
	readonly goal: Goal;
	readonly fault: simulation.Fault;
	/**
	Milliseconds after the onset.
	*/
	readonly duration: number;
	/**
	Whether the run continues after detection, to observe what happens to the upstream later.
	*/
	readonly isRunToEnd?: boolean;
};

const SERVED_NORMALLY: simulation.FaultOutcome = {kind: 'served', factor: 1};
const SICK_UPSTREAM = 0;
const HOST_WITH_PATH_FAULT = 0;
const ONSET_MILLISECONDS = 15_000;
const FAULT_DURATION_MILLISECONDS = 30_000;
const QUIET_DURATION_MILLISECONDS = 180_000;
const FLAP_MILLISECONDS = 4000;
const PAUSE_MILLISECONDS = 250;

function createErrors(rate: number): simulation.Fault {
	return ({upstream, sinceOnset, random}) => upstream === SICK_UPSTREAM && sinceOnset >= 0 && random() < rate
		? {kind: 'failed', result: 'status', milliseconds: 5}
		: SERVED_NORMALLY;
}

function createSlowness(factor: number): simulation.Fault {
	return ({upstream, sinceOnset}) => upstream === SICK_UPSTREAM && sinceOnset >= 0 ? {kind: 'served', factor} : SERVED_NORMALLY;
}

// Healthy upstreams pause now and then, as for a garbage collection, or reset all of their requests, as at the restart of a
// worker. Neither is a reason to eject them.
const createHiccup: simulation.Fault = ({upstream, sinceOnset}) => {
	const time = sinceOnset + ONSET_MILLISECONDS + (upstream * 7919);
	const phase = time % 60_000;
	if (phase < PAUSE_MILLISECONDS) {
		return {kind: 'served', factor: 1, delayMilliseconds: PAUSE_MILLISECONDS - phase};
	}

	return phase >= 30_000 && phase < 30_020 ? {kind: 'failed', result: 'reset', milliseconds: 1} : SERVED_NORMALLY;
};

const SCENARIOS: readonly Scenario[] = [
	...[0.05, 0.2, 0.5, 1].map((rate): Scenario => ({
		name: `errors ${rate * 100}%`,
		goal: 'upstream',
		fault: createErrors(rate),
		duration: FAULT_DURATION_MILLISECONDS,
	})),
	...[2, 5, 20].map((factor): Scenario => ({
		name: `slow ${factor}x`,
		goal: 'upstream',
		fault: createSlowness(factor),
		duration: FAULT_DURATION_MILLISECONDS,
	})),
	{
		name: 'flapping',
		goal: 'upstream',
		fault: request => Math.floor(request.sinceOnset / FLAP_MILLISECONDS) % 2 === 0
			? createErrors(1)(request)
			: SERVED_NORMALLY,
		duration: 4 * FAULT_DURATION_MILLISECONDS,
		isRunToEnd: true,
	},
	{
		name: 'half-open',
		goal: 'upstream',
		fault: ({upstream, sinceOnset}) => upstream === SICK_UPSTREAM && sinceOnset >= 0 ? {kind: 'hung'} : SERVED_NORMALLY,
		duration: FAULT_DURATION_MILLISECONDS,
	},
	{
		name: 'one-way partition of a host, one upstream',
		goal: 'path',
		fault: ({host, upstream, sinceOnset}) => host === HOST_WITH_PATH_FAULT && upstream === SICK_UPSTREAM && sinceOnset >= 0
			? {kind: 'lost'}
			: SERVED_NORMALLY,
		duration: FAULT_DURATION_MILLISECONDS,
	},
	{
		name: 'one-way partition of a host, all upstreams',
		goal: 'self',
		fault: ({host, sinceOnset}) => host === HOST_WITH_PATH_FAULT && sinceOnset >= 0 ? {kind: 'lost'} : SERVED_NORMALLY,
		duration: FAULT_DURATION_MILLISECONDS,
	},
	{
		name: 'all slow 5x',
		goal: 'none',
		fault: ({sinceOnset}) => ({kind: 'served', factor: sinceOnset >= 0 ? 5 : 1}),
		duration: FAULT_DURATION_MILLISECONDS,
	},
	{
		name: 'all fail 20%',
		goal: 'none',
		fault: ({sinceOnset, random}) => sinceOnset >= 0 && random() < 0.2
			? {kind: 'failed', result: 'status', milliseconds: 5}
			: SERVED_NORMALLY,
		duration: FAULT_DURATION_MILLISECONDS,
	},
	{
		name: 'healthy with hiccups',
		goal: 'none',
		fault: createHiccup,
		duration: QUIET_DURATION_MILLISECONDS,
	},
];

const GUARDED_NAMES: ReadonlySet<string> = new Set([
	'quoting 20, 8 hosts',
	'media 8, 8 hosts',
	'media 8, 44 hosts',
	'fieldwork 6, 8 hosts',
]);

/**
Sizes of the users' services.
*/
export const SIZES: readonly simulation.ServiceSize[] = [
	createSize({
		name: 'archive', upstreams: 30, slots: 4, failureDomains: 4, medianMilliseconds: 40,
	}),
	createSize({
		name: 'quoting', upstreams: 20, slots: 6, failureDomains: 3, medianMilliseconds: 40,
	}),
	createSize({
		name: 'media', upstreams: 8, slots: 4, failureDomains: 4, medianMilliseconds: 80,
	}),
	createSize({
		name: 'fieldwork', upstreams: 6, slots: 6, failureDomains: 3, medianMilliseconds: 80,
	}),
].flatMap(size => [8, 44].map(hosts => ({...size, hosts, name: `${size.name} ${size.upstreams}, ${hosts} hosts`})));

function createSize(size: Omit<simulation.ServiceSize, 'hosts' | 'load'>): simulation.ServiceSize {
	return {...size, hosts: 8, load: 0.5};
}

/**
Sizes of the run that guards against regressions; the full table takes minutes.
*/
export const GUARDED_SIZES: readonly simulation.ServiceSize[] = SIZES.filter(({name}) => GUARDED_NAMES.has(name));

const POLICY_NAMES: readonly policies.PolicyName[] = ['consecutive', 'outliers', 'fast', 'careful'];

type Run = {
	readonly detectionMilliseconds: number | undefined;
	readonly falseEjections: number;
	readonly observedMilliseconds: number;
	readonly harmed: number;
};

/**
Runs the bench and returns its rows. Without options: the run that guards against regressions.
*/
export function runDetectionBench({seeds = [1], sizes = GUARDED_SIZES, scenarios, policyNames = POLICY_NAMES}: {
	readonly seeds?: readonly number[];
	readonly sizes?: readonly simulation.ServiceSize[];
	readonly scenarios?: readonly string[];
	readonly policyNames?: readonly policies.PolicyName[];
} = {}): Row[] {
	const chosen = SCENARIOS.filter(({name}) => scenarios?.includes(name) !== false);
	return sizes.flatMap(size => chosen.flatMap(scenario => policyNames.map(policy =>
		createRow(size, scenario, policy, seeds.map(seed => run(size, scenario, policy, seed))))));
}

function run(size: simulation.ServiceSize, scenario: Scenario, name: policies.PolicyName, seed: number): Run {
	const subject = policies.POLICIES[name](size, seed);
	let detectionMilliseconds: number | undefined;
	let wasAvoidedAtOnset = false;
	let harmed = 0;
	let endedAt = 0;
	simulation.simulate({
		size,
		seed,
		policy: subject.policy,
		fault: scenario.fault,
		onset: ONSET_MILLISECONDS,
		duration: ONSET_MILLISECONDS + scenario.duration,
		observer: {
			onSent(_host, _upstream, now, isHarmed) {
				harmed += isHarmed && now >= ONSET_MILLISECONDS ? 1 : 0;
			},
			onStep(now) {
				endedAt = now;
				if (detectionMilliseconds !== undefined || now < ONSET_MILLISECONDS) {
					return false;
				}

				// An upstream that is avoided before its fault begins is a false ejection and not a detection.
				wasAvoidedAtOnset ||= now === ONSET_MILLISECONDS && GOALS[scenario.goal](size, subject, now);
				if (!wasAvoidedAtOnset && GOALS[scenario.goal](size, subject, now)) {
					detectionMilliseconds = now - ONSET_MILLISECONDS;
					return scenario.isRunToEnd !== true;
				}

				return false;
			},
		},
	});
	return {
		detectionMilliseconds,
		falseEjections: countFalse(scenario, subject),
		observedMilliseconds: endedAt,
		harmed,
	};
}

const DETECTED_HOSTS_FRACTION = 0.9;

const GOALS: Readonly<Record<Goal, (size: simulation.ServiceSize, subject: policies.PolicyUnderTest, now: number) => boolean>> = {
	upstream(size, {policy}, now) {
		let avoidingHosts = 0;
		for (let host = 0; host < size.hosts; host++) {
			avoidingHosts += policy.getTrafficFraction(host, SICK_UPSTREAM, now) < 1 ? 1 : 0;
		}

		return avoidingHosts >= size.hosts * DETECTED_HOSTS_FRACTION;
	},
	path: (_size, {policy}, now) => policy.getTrafficFraction(HOST_WITH_PATH_FAULT, SICK_UPSTREAM, now) < 1,
	self: (_size, subject) => subject.getSelfReports().has(HOST_WITH_PATH_FAULT),
	none: () => false,
};

// A local ejection by a host that can't reach the upstream is correct.
const PATH_GOALS: ReadonlySet<Goal> = new Set(['path', 'self']);

function countFalse({goal}: Scenario, subject: policies.PolicyUnderTest): number {
	let total = 0;
	for (const {upstream, at, weight} of subject.getEjections()) {
		const isAfterOnset = at >= ONSET_MILLISECONDS;
		const isSick = upstream === SICK_UPSTREAM && goal === 'upstream';
		const isCorrect = isSick && isAfterOnset;
		const isLocalPathFault = isAfterOnset && weight < 1 && PATH_GOALS.has(goal);
		total += isCorrect || isLocalPathFault ? 0 : weight;
	}

	return total;
}

const HOUR_MILLISECONDS = 3_600_000;

function createRow(size: simulation.ServiceSize, scenario: Scenario, policy: policies.PolicyName, runs: readonly Run[]): Row {
	const detected = runs.filter(({detectionMilliseconds}) => detectionMilliseconds !== undefined);
	const observed = sum(runs.map(({observedMilliseconds}) => observedMilliseconds));
	return {
		size: size.name,
		scenario: scenario.name,
		policy,
		detectionMilliseconds: detected.length === runs.length
			? Math.round(sum(detected.map(({detectionMilliseconds}) => detectionMilliseconds!)) / runs.length)
			: null,
		missed: scenario.goal === 'none' ? 0 : runs.length - detected.length,
		runs: runs.length,
		falsePerHour: Math.round((sum(runs.map(({falseEjections}) => falseEjections)) * HOUR_MILLISECONDS * 10) / observed) / 10,
		harmed: Math.round(sum(runs.map(({harmed}) => harmed)) / runs.length),
	};
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
