/**
Simulation of a service for the detection bench: hosts that don't coordinate single requests send to upstreams with a few
slots and a queue. Only what detection needs is modelled. For the same seed, every policy gets the same arrivals, service times
and faults.
*/
import * as utils from 'wagtailroute-utils';
import type * as detection from '../index.ts';

/**
Size and traffic of a service.
*/
export type ServiceSize = {
	readonly name: string;
	readonly hosts: number;
	readonly failureDomains: number;
	readonly upstreams: number;
	readonly slots: number;
	readonly medianMilliseconds: number;
	/**
	Fraction of the slots that the traffic occupies.
	*/
	readonly load: number;
};

/**
What happens to one request at an upstream.
*/
export type FaultOutcome =
	| {readonly kind: 'served'; readonly factor: number; readonly delayMilliseconds?: number}
	| {readonly kind: 'failed'; readonly result: detection.FailureKind; readonly milliseconds: number}
	/**
	Never answers, and keeps its slot.
	*/
	| {readonly kind: 'hung'}
	/**
	Runs normally, but its answer doesn't reach the host.
	*/
	| {readonly kind: 'lost'};

/**
Determines what happens to a request that is sent to an upstream.
*/
export type Fault = (request: {
	readonly host: number;
	readonly upstream: number;
	/**
	Milliseconds since the onset of the fault; negative before.
	*/
	readonly sinceOnset: number;
	readonly random: utils.Random;
}) => FaultOutcome;

/**
Decides which upstreams a host may send to.
*/
export type Policy = {
	/**
	Fraction of its normal traffic that the host may send to the upstream now, from 0 to 1.
	*/
	readonly getTrafficFraction: (host: number, upstream: number, now: number) => number;
	readonly begin: (host: number, upstream: number, now: number) => unknown;
	readonly end: (handle: unknown, ending: {
		readonly host: number;
		readonly upstream: number;
		readonly result: detection.RequestResult;
		readonly now: number;
	}) => void;
	/**
	Called every `STEP_MILLISECONDS`.
	*/
	readonly step: (now: number) => void;
};

/**
Callbacks of the simulation.
*/
export type Observer = {
	readonly onSent: (host: number, upstream: number, now: number, isHarmed: boolean) => void;
	/**
	Called at each step; returns whether to stop.
	*/
	readonly onStep: (now: number) => boolean;
};

/**
Step of the simulated time, in milliseconds.
*/
export const STEP_MILLISECONDS = 5;

/**
Deadline of the service in milliseconds: a request without an answer by then has timed out.
*/
export const TIMEOUT_MILLISECONDS = 2000;

/**
Rate at which healthy upstreams fail requests.
*/
export const USUAL_ERROR_RATE = 0.001;

const LATENCY_SIGMA = 0.5;

type SimulatedRequest = {
	readonly host: number;
	readonly upstream: number;
	readonly deadline: number;
	readonly handle: unknown;
	readonly result: detection.RequestResult;
	/**
	Time that the request occupies a slot.
	*/
	readonly milliseconds: number;
	readonly isAnswered: boolean;
	isDone: boolean;
};

/**
Runs the service until `duration`, the fault starting at `onset` (both in milliseconds).
*/
export function simulate({size, seed, policy, fault, onset, duration, observer}: {
	readonly size: ServiceSize;
	readonly seed: number;
	readonly policy: Policy;
	readonly fault: Fault;
	readonly onset: number;
	readonly duration: number;
	readonly observer: Observer;
}): void {
	const arrivals = utils.createRandom(seed);
	const services = utils.createRandom(seed + 1);
	const choices = utils.createRandom(seed + 2);
	const outstanding = Array.from({length: size.hosts}, () => Array.from({length: size.upstreams}, () => 0));
	const busy = Array.from({length: size.upstreams}, () => 0);
	const queues: SimulatedRequest[][] = Array.from({length: size.upstreams}, () => []);
	const agenda = new Map<number, Array<() => void>>();
	const meanMilliseconds = size.medianMilliseconds * Math.exp((LATENCY_SIGMA ** 2) / 2);
	const perMillisecond = (size.load * size.upstreams * size.slots) / meanMilliseconds;
	let now = 0;

	const schedule = (at: number, run: () => void): void => {
		const step = Math.max(Math.ceil(at / STEP_MILLISECONDS), Math.floor(now / STEP_MILLISECONDS) + 1);
		const runs = agenda.get(step);
		if (runs === undefined) {
			agenda.set(step, [run]);
		} else {
			runs.push(run);
		}
	};

	const finish = (job: SimulatedRequest, result: detection.RequestResult): void => {
		if (job.isDone) {
			return;
		}

		job.isDone = true;
		outstanding[job.host]![job.upstream]!--;
		policy.end(job.handle, {
			host: job.host,
			upstream: job.upstream,
			result,
			now,
		});
	};

	const release = (upstream: number): void => {
		busy[upstream]!--;
		startNext(upstream);
	};

	const start = (job: SimulatedRequest): void => {
		busy[job.upstream]!++;
		const end = Math.min(now + job.milliseconds, Math.max(now, job.deadline));
		schedule(end, () => {
			if (job.isAnswered || now >= job.deadline) {
				finish(job, now >= job.deadline ? 'timeout' : job.result);
			}

			release(job.upstream);
		});
	};

	const startNext = (upstream: number): void => {
		const queue = queues[upstream]!;
		while (queue.length > 0 && busy[upstream]! < size.slots) {
			const job = queue.shift()!;
			if (!job.isDone) {
				start(job);
			}
		}
	};

	const send = (host: number): void => {
		const upstream = chooseUpstream(host);
		const outcome = fault({
			host,
			upstream,
			sinceOnset: now - onset,
			random: services,
		});
		const drawn = size.medianMilliseconds * Math.exp(LATENCY_SIGMA * drawNormal(services));
		const isUsualFailure = services() < USUAL_ERROR_RATE;
		const {result, milliseconds, isAnswered} = applyFaultOutcome(outcome, drawn, isUsualFailure);
		outstanding[host]![upstream]!++;
		const job: SimulatedRequest = {
			host,
			upstream,
			deadline: now + TIMEOUT_MILLISECONDS,
			handle: policy.begin(host, upstream, now),
			result,
			milliseconds,
			isAnswered,
			isDone: false,
		};
		observer.onSent(host, upstream, now, outcome.kind !== 'served' || outcome.factor > 1);
		const isStarted = busy[upstream]! < size.slots;
		if (isStarted) {
			start(job);
		} else {
			queues[upstream]!.push(job);
		}

		if (!isStarted || !isAnswered) {
			schedule(job.deadline, () => {
				finish(job, 'timeout');
			});
		}
	};

	const chooseUpstream = (host: number): number => {
		const usable: number[] = [];
		for (let upstream = 0; upstream < size.upstreams; upstream++) {
			const share = policy.getTrafficFraction(host, upstream, now);
			if (share >= 1 || (share > 0 && choices() < share)) {
				usable.push(upstream);
			}
		}

		if (usable.length === 0) {
			return utils.pickIndex(choices, size.upstreams);
		}

		const left = usable[utils.pickIndex(choices, usable.length)]!;
		const right = usable[utils.pickIndex(choices, usable.length)]!;
		return outstanding[host]![right]! < outstanding[host]![left]! ? right : left;
	};

	let nextArrival = 0;
	for (let step = 0; now < duration; step++) {
		now = step * STEP_MILLISECONDS;
		for (const run of agenda.get(step) ?? []) {
			run();
		}

		agenda.delete(step);
		while (nextArrival <= now) {
			send(utils.pickIndex(arrivals, size.hosts));
			nextArrival -= Math.log(1 - arrivals()) / perMillisecond;
		}

		policy.step(now);
		if (observer.onStep(now)) {
			return;
		}
	}
}

type ServedRequest = Pick<SimulatedRequest, 'result' | 'milliseconds' | 'isAnswered'>;

type Treatments = {
	readonly [Kind in FaultOutcome['kind']]: (
		outcome: Extract<FaultOutcome, {kind: Kind}>,
		drawn: number,
		usual: detection.RequestResult,
	) => ServedRequest;
};

const FAULT_OUTCOMES: Treatments = {
	served: ({factor, delayMilliseconds = 0}, drawn, usual) => ({
		result: usual,
		milliseconds: (drawn * factor) + delayMilliseconds,
		isAnswered: true,
	}),
	failed: ({result, milliseconds}) => ({result, milliseconds, isAnswered: true}),
	hung: () => ({result: 'timeout', milliseconds: Infinity, isAnswered: false}),
	lost: (_treatment, drawn) => ({result: 'timeout', milliseconds: drawn, isAnswered: false}),
};

function applyFaultOutcome(outcome: FaultOutcome, drawn: number, isUsualFailure: boolean): ServedRequest {
	const handler = FAULT_OUTCOMES[outcome.kind] as (
		outcome: FaultOutcome,
		drawn: number,
		usual: detection.RequestResult,
	) => ServedRequest;
	return handler(outcome, drawn, isUsualFailure ? 'status' : 'success');
}

function drawNormal(random: utils.Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
