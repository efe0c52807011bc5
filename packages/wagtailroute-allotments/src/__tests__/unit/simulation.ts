/**
Simulates several dispatchers that admit requests of one organisation, and counts what they admit in total.

Each service has one dispatcher at a time. Requests go to the next one when it is down or frozen, or when entry hosts disagree for a moment. Reports arrive with a
delay, and not at all between the halves of a network partition or at a host that is down.
*/
import * as utils from 'wagtailroute-utils';
import * as allotments from '../../index.ts';

/**
The window, and the tolerance of the rate, that the admitted requests are checked against.
*/
export const WINDOW_MILLISECONDS = 5000;
const RATE_TOLERANCE = 0.1;
const SLACK = 20;
const ORGANISATION = 'parish';
const SERVICES = ['archive', 'media'] as const;
const STEP_MILLISECONDS = 5;
const END_MILLISECONDS = 20_000;
const REPORT_DELAY_MILLISECONDS = 5;

/**
Parameters of a simulation.
*/
export type Simulation = {
	readonly seed: number;
	readonly dispatchers: number;
	readonly ratePerSecond: number;
	/**
	Multiple of its rate that the organisation sends while it sends too much.
	*/
	readonly flood: number;
};

/**
Result of a simulation.
*/
export type SimulationResult = {
	/**
	Largest number of requests in a window beyond the allowed number; 0 or less when no window exceeds it.
	*/
	readonly excess: number;
	readonly sent: number;
	readonly refused: number;
};

type Fault = 'none' | 'kill' | 'freeze' | 'suspend' | 'split' | 'disagree' | 'restart';
const FAULTS: readonly Fault[] = ['none', 'kill', 'freeze', 'suspend', 'split', 'disagree', 'restart'];

type Host = {
	limiter: allotments.AllotmentLimiter;
	/**
	Monotonic time of the host; it stands still while the host is suspended.
	*/
	clock: number;
	downUntil: number;
	frozenUntil: number;
	lastReportAt: number;
};

/**
Creates the limiter of a dispatcher.
*/
export type LimiterFactory = (now: number, random: () => number) => allotments.AllotmentLimiter;

/**
Creates the limiter under test.
*/
export const createLimiter: LimiterFactory = (now, random) => allotments.createAllotmentLimiter({
	slack: SLACK, windowMilliseconds: WINDOW_MILLISECONDS, getShare: () => 1, isReceivingReports: true, random,
}, now);

/**
Runs a simulation.
*/
export function simulate(simulation: Simulation, create: LimiterFactory = createLimiter): SimulationResult {
	return new Simulator(simulation, create).run();
}

class Simulator {
	readonly #simulation: Simulation;
	readonly #create: LimiterFactory;
	readonly #random: utils.Random;
	readonly #hosts: Host[];
	readonly #admittedAt: number[] = [];
	#reports: Array<{readonly at: number; readonly from: Host; readonly to: Host; readonly report: allotments.UsageReport}> = [];
	readonly #clocks = new Map<Host, allotments.SenderClocks>();
	#splitUntil = 0;
	#disagreeUntil = 0;
	#lentUntil = 0;
	#sent = 0;
	#refused = 0;

	constructor(simulation: Simulation, create: LimiterFactory) {
		this.#simulation = simulation;
		this.#create = create;
		this.#random = utils.createRandom(simulation.seed);
		this.#hosts = Array.from({length: simulation.dispatchers}, () => this.#start(0));
	}

	run(): SimulationResult {
		const faultAt = 6000 + (this.#random() * 4000);
		const fault = FAULTS[Math.floor(this.#random() * FAULTS.length)]!;
		const floodAt = 5000 + (this.#random() * 6000);
		let hasFailed = false;
		for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
			if (!hasFailed && now >= faultAt) {
				hasFailed = true;
				this.#injectFault(fault, now);
			}

			this.#step(now, now >= floodAt ? this.#simulation.flood : 1 / 1.6);
		}

		return {excess: this.#getExcess(), sent: this.#sent, refused: this.#refused};
	}

	#start(now: number): Host {
		const limiter = this.#create(now, this.#random);
		limiter.setAllotments([{organisation: ORGANISATION, ratePerSecond: this.#simulation.ratePerSecond, burst: this.#simulation.ratePerSecond}], now);
		return {
			limiter, clock: now, downUntil: 0, frozenUntil: 0, lastReportAt: now + Math.floor(this.#random() * allotments.REPORT_INTERVAL_MILLISECONDS),
		};
	}

	#injectFault(fault: Fault, now: number): void {
		const host = this.#getDispatchers(Math.floor(this.#random() * SERVICES.length), now)[0]!;
		const handlers: Readonly<Record<Fault, () => void>> = {
			none: () => undefined,
			kill() {
				host.downUntil = now + 3000;
			},
			freeze() {
				host.frozenUntil = now + 4000;
				host.clock += 4000;
			},
			suspend() {
				host.frozenUntil = now + 4000;
			},
			split: () => {
				this.#splitUntil = now + 5500;
			},
			disagree: () => {
				this.#disagreeUntil = now + 500;
			},
			restart: () => {
				for (const each of this.#hosts) {
					each.downUntil = now + 1000;
				}
			},
		};
		handlers[fault]();
	}

	/**
	Returns the hosts that receive the requests of a service: the first that is running, and the next one too while entry hosts disagree.
	*/
	#getDispatchers(service: number, now: number): readonly Host[] {
		const {length} = this.#hosts;
		const order = this.#hosts.map((_host, index) => this.#hosts[(index + (service * Math.floor(length / 2))) % length]!);
		const answering = order.filter(host => host.downUntil <= now && host.frozenUntil <= now);
		return answering.slice(0, now < this.#disagreeUntil ? 2 : 1);
	}

	#step(now: number, load: number): void {
		for (const [index, host] of this.#hosts.entries()) {
			this.#advance(index, host, now);
		}

		this.#deliverReports(now);
		const perSecond = load * this.#simulation.ratePerSecond;
		for (let due = perSecond * STEP_MILLISECONDS / 1000; this.#random() < due; due--) {
			this.#sendRequest(now);
		}
	}

	#advance(index: number, host: Host, now: number): void {
		if (host.downUntil > 0 && host.downUntil <= now) {
			this.#hosts[index] = this.#start(now);
			return;
		}

		if (host.downUntil > now || host.frozenUntil > now) {
			return;
		}

		host.clock += STEP_MILLISECONDS;
		if (now - host.lastReportAt >= allotments.REPORT_INTERVAL_MILLISECONDS) {
			this.#sendReport(index, host, now);
		}
	}

	#sendReport(index: number, host: Host, now: number): void {
		host.lastReportAt = now;
		const report = host.limiter.collectReport(host.clock);
		if (report === undefined) {
			return;
		}

		const half = this.#hosts.length / 2;
		for (const [other, to] of this.#hosts.entries()) {
			const isCut = now < this.#splitUntil && (other < half) !== (index < half);
			if (to !== host && !isCut) {
				this.#reports.push({
					at: now + REPORT_DELAY_MILLISECONDS, from: this.#hosts[index]!, to, report,
				});
			}
		}
	}

	#deliverReports(now: number): void {
		const due = this.#reports.filter(({at, to}) => at <= now && to.frozenUntil <= now);
		this.#reports = this.#reports.filter(item => !due.includes(item));
		for (const {from, to, report} of due) {
			if (!(to.downUntil <= now)) {
				continue;
			}

			const clocks = this.#clocks.get(to) ?? allotments.createSenderClocks();
			this.#clocks.set(to, clocks);
			to.limiter.applyReport(report, {at: clocks.convert(from, report.at, to.clock), now: to.clock});
		}
	}

	#sendRequest(now: number): void {
		const service = this.#random() < 0.84 ? 0 : 1;
		const hosts = this.#getDispatchers(service, now);
		const host = hosts[Math.floor(this.#random() * hosts.length)];
		if (host === undefined) {
			return;
		}

		this.#sent++;
		host.limiter.addLoan({milliseconds: now - this.#lentUntil, isBurstLent: false, hostShare: 1}, host.clock);
		this.#lentUntil = now;
		const admission = host.limiter.admit(ORGANISATION, SERVICES[service], host.clock);
		if (admission.kind === 'refused') {
			this.#refused++;
			return;
		}

		this.#admittedAt.push(now);
		if (admission.isReportUrgent) {
			this.#sendReport(this.#hosts.indexOf(host), host, now);
		}
	}

	#getExcess(): number {
		const {ratePerSecond} = this.#simulation;
		const maxRequests = (((ratePerSecond * WINDOW_MILLISECONDS / 1000) + ratePerSecond) * (1 + RATE_TOLERANCE)) + SLACK;
		let excess = -Infinity;
		let first = 0;
		for (const [last, at] of this.#admittedAt.entries()) {
			while (at - (this.#admittedAt[first] ?? at) > WINDOW_MILLISECONDS) {
				first++;
			}

			excess = Math.max(excess, last - first + 1 - maxRequests);
		}

		return excess;
	}
}
