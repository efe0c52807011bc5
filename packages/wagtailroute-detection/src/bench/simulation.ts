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
	const arrivalRandom = utils.createRandom(seed);
	const serviceRandom = utils.createRandom(seed + 1);
	const choiceRandom = utils.createRandom(seed + 2);
	const outstanding = Array.from({length: size.hosts}, () => Array.from({length: size.upstreams}, () => 0));
	const busySlots = Array.from({length: size.upstreams}, () => 0);
	const queues: SimulatedRequest[][] = Array.from({length: size.upstreams}, () => []);
	const scheduledRuns = new Map<number, Array<() => void>>();
	const meanMilliseconds = size.medianMilliseconds * Math.exp((LATENCY_SIGMA ** 2) / 2);
	const arrivalsPerMillisecond = (size.load * size.upstreams * size.slots) / meanMilliseconds;
	let now = 0;

	const schedule = (at: number, run: () => void): void => {
		const step = Math.max(Math.ceil(at / STEP_MILLISECONDS), Math.floor(now / STEP_MILLISECONDS) + 1);
		const runs = scheduledRuns.get(step);
		if (runs === undefined) {
			scheduledRuns.set(step, [run]);
		} else {
			runs.push(run);
		}
	};

	const finish = (request: SimulatedRequest, result: detection.RequestResult): void => {
		if (request.isDone) {
			return;
		}

		request.isDone = true;
		outstanding[request.host]![request.upstream]!--;
		policy.end(request.handle, {
			host: request.host,
			upstream: request.upstream,
			result,
			now,
		});
	};

	const release = (upstream: number): void => {
		busySlots[upstream]!--;
		startNext(upstream);
	};

	const start = (request: SimulatedRequest): void => {
		busySlots[request.upstream]!++;
		const end = Math.min(now + request.milliseconds, Math.max(now, request.deadline));
		schedule(end, () => {
			if (request.isAnswered || now >= request.deadline) {
				finish(request, now >= request.deadline ? 'timeout' : request.result);
			}

			release(request.upstream);
		});
	};

	const startNext = (upstream: number): void => {
		const queue = queues[upstream]!;
		while (queue.length > 0 && busySlots[upstream]! < size.slots) {
			const request = queue.shift()!;
			if (!request.isDone) {
				start(request);
			}
		}
	};

	const send = (host: number): void => {
		const upstream = chooseUpstream(host);
		const outcome = fault({
			host,
			upstream,
			sinceOnset: now - onset,
			random: serviceRandom,
		});
		const drawnMilliseconds = size.medianMilliseconds * Math.exp(LATENCY_SIGMA * drawNormal(serviceRandom));
		const isUsualFailure = serviceRandom() < USUAL_ERROR_RATE;
		const {result, milliseconds, isAnswered} = applyFaultOutcome(outcome, drawnMilliseconds, isUsualFailure);
		outstanding[host]![upstream]!++;
		const request: SimulatedRequest = {
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
		const isStarted = busySlots[upstream]! < size.slots;
		if (isStarted) {
			start(request);
		} else {
			queues[upstream]!.push(request);
		}

		if (!isStarted || !isAnswered) {
			schedule(request.deadline, () => {
				finish(request, 'timeout');
			});
		}
	};

	const chooseUpstream = (host: number): number => {
		const usable: number[] = [];
		for (let upstream = 0; upstream < size.upstreams; upstream++) {
			const fraction = policy.getTrafficFraction(host, upstream, now);
			if (fraction >= 1 || (fraction > 0 && choiceRandom() < fraction)) {
				usable.push(upstream);
			}
		}

		if (usable.length === 0) {
			return utils.pickIndex(choiceRandom, size.upstreams);
		}

		const left = usable[utils.pickIndex(choiceRandom, usable.length)]!;
		const right = usable[utils.pickIndex(choiceRandom, usable.length)]!;
		return outstanding[host]![right]! < outstanding[host]![left]! ? right : left;
	};

	let nextArrival = 0;
	for (let step = 0; now < duration; step++) {
		now = step * STEP_MILLISECONDS;
		for (const run of scheduledRuns.get(step) ?? []) {
			run();
		}

		scheduledRuns.delete(step);
		while (nextArrival <= now) {
			send(utils.pickIndex(arrivalRandom, size.hosts));
			nextArrival -= Math.log(1 - arrivalRandom()) / arrivalsPerMillisecond;
		}

		policy.step(now);
		if (observer.onStep(now)) {
			return;
		}
	}
}

type ServedRequest = Pick<SimulatedRequest, 'result' | 'milliseconds' | 'isAnswered'>;

type FaultOutcomes = {
	readonly [Kind in FaultOutcome['kind']]: (
		outcome: Extract<FaultOutcome, {kind: Kind}>,
		drawnMilliseconds: number,
		usualResult: detection.RequestResult,
	) => ServedRequest;
};

const FAULT_OUTCOMES: FaultOutcomes = {
	served: ({factor, delayMilliseconds = 0}, drawnMilliseconds, usualResult) => ({
		result: usualResult,
		milliseconds: (drawnMilliseconds * factor) + delayMilliseconds,
		isAnswered: true,
	}),
	failed: ({result, milliseconds}) => ({result, milliseconds, isAnswered: true}),
	hung: () => ({result: 'timeout', milliseconds: Infinity, isAnswered: false}),
	lost: (_outcome, drawnMilliseconds) => ({result: 'timeout', milliseconds: drawnMilliseconds, isAnswered: false}),
};

function applyFaultOutcome(outcome: FaultOutcome, drawnMilliseconds: number, isUsualFailure: boolean): ServedRequest {
	const handler = FAULT_OUTCOMES[outcome.kind] as (
		outcome: FaultOutcome,
		drawnMilliseconds: number,
		usualResult: detection.RequestResult,
	) => ServedRequest;
	return handler(outcome, drawnMilliseconds, isUsualFailure ? 'status' : 'success');
}

function drawNormal(random: utils.Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
