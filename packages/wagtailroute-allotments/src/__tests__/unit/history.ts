/**
Histories of several dispatchers that admit requests of one organisation, and the naive sum of what they admitted.

Each service has one dispatcher at a time; asks go to the next one when it is lost, frozen or when entry hosts disagree for a moment. News travel with a
delay, and not at all between the halves of a split or to a host that is down.
*/
import * as utils from 'wagtailroute-utils';
import * as allotments from '../../index.ts';

/**
What the sum is held against.
*/
export const WINDOW_MILLISECONDS = 5000;
const OVER = 0.1;
const SLACK = 20;
const ORGANISATION = 'parish';
const SERVICES = ['archive', 'media'] as const;
const STEP_MILLISECONDS = 5;
const END_MILLISECONDS = 20_000;
const NEWS_MILLISECONDS = 5;

/**
A history.
*/
export type History = {
	readonly seed: number;
	readonly dispatchers: number;
	readonly ratePerSecond: number;
	/**
	How many times its rate the organisation sends while it floods.
	*/
	readonly flood: number;
};

/**
What became of a history.
*/
export type Outcome = {
	/**
	Most requests in a window beyond what may pass; 0 or less when all are within.
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
	What its clock shows; it stands still while the host is suspended.
	*/
	clock: number;
	downUntil: number;
	frozenUntil: number;
	toldAt: number;
};

/**
Creates the limiter of a dispatcher.
*/
export type LimiterFactory = (now: number, random: () => number) => allotments.AllotmentLimiter;

/**
Creates the limiter that is tested.
*/
export const createLimiter: LimiterFactory = (now, random) => allotments.createAllotmentLimiter({
	slack: SLACK, windowMilliseconds: WINDOW_MILLISECONDS, getShare: () => 1, isReceivingReports: true, random,
}, now);

/**
Plays a history.
*/
export function play(history: History, create: LimiterFactory = createLimiter): Outcome {
	return new Play(history, create).run();
}

class Play {
	readonly #history: History;
	readonly #create: LimiterFactory;
	readonly #random: utils.Random;
	readonly #hosts: Host[];
	readonly #admittedAt: number[] = [];
	#news: Array<{readonly at: number; readonly from: Host; readonly to: Host; readonly news: allotments.UsageReport}> = [];
	readonly #clocks = new Map<Host, allotments.SenderClocks>();
	#splitUntil = 0;
	#disagreeUntil = 0;
	#sent = 0;
	#refused = 0;

	constructor(history: History, create: LimiterFactory) {
		this.#history = history;
		this.#create = create;
		this.#random = utils.createRandom(history.seed);
		this.#hosts = Array.from({length: history.dispatchers}, () => this.#start(0));
	}

	run(): Outcome {
		const faultAt = 6000 + (this.#random() * 4000);
		const fault = FAULTS[Math.floor(this.#random() * FAULTS.length)]!;
		const floodAt = 5000 + (this.#random() * 6000);
		let hasFailed = false;
		for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
			if (!hasFailed && now >= faultAt) {
				hasFailed = true;
				this.#fail(fault, now);
			}

			this.#step(now, now >= floodAt ? this.#history.flood : 1 / 1.6);
		}

		return {excess: this.#getExcess(), sent: this.#sent, refused: this.#refused};
	}

	#start(now: number): Host {
		const limiter = this.#create(now, this.#random);
		limiter.setAllotments([{organisation: ORGANISATION, ratePerSecond: this.#history.ratePerSecond, burst: this.#history.ratePerSecond}], now);
		return {
			limiter, clock: now, downUntil: 0, frozenUntil: 0, toldAt: now + Math.floor(this.#random() * allotments.REPORT_INTERVAL_MILLISECONDS),
		};
	}

	#fail(fault: Fault, now: number): void {
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
	Hosts that are asked for a service: the first that answers, and the next one too while entry hosts disagree.
	*/
	#getDispatchers(service: number, now: number): readonly Host[] {
		const {length} = this.#hosts;
		const order = this.#hosts.map((_host, index) => this.#hosts[(index + (service * Math.floor(length / 2))) % length]!);
		const answering = order.filter(host => host.downUntil <= now && host.frozenUntil <= now);
		return answering.slice(0, now < this.#disagreeUntil ? 2 : 1);
	}

	#step(now: number, load: number): void {
		for (const [index, host] of this.#hosts.entries()) {
			this.#keepUp(index, host, now);
		}

		this.#deliver(now);
		const perSecond = load * this.#history.ratePerSecond;
		for (let due = perSecond * STEP_MILLISECONDS / 1000; this.#random() < due; due--) {
			this.#ask(now);
		}
	}

	#keepUp(index: number, host: Host, now: number): void {
		if (host.downUntil > 0 && host.downUntil <= now) {
			this.#hosts[index] = this.#start(now);
			return;
		}

		if (host.downUntil > now || host.frozenUntil > now) {
			return;
		}

		host.clock += STEP_MILLISECONDS;
		if (now - host.toldAt >= allotments.REPORT_INTERVAL_MILLISECONDS) {
			this.#tell(index, host, now);
		}
	}

	#tell(index: number, host: Host, now: number): void {
		host.toldAt = now;
		const news = host.limiter.collectReport(host.clock);
		if (news === undefined) {
			return;
		}

		const half = this.#hosts.length / 2;
		for (const [other, to] of this.#hosts.entries()) {
			const isCut = now < this.#splitUntil && (other < half) !== (index < half);
			if (to !== host && !isCut) {
				this.#news.push({
					at: now + NEWS_MILLISECONDS, from: this.#hosts[index]!, to, news,
				});
			}
		}
	}

	#deliver(now: number): void {
		const due = this.#news.filter(({at, to}) => at <= now && to.frozenUntil <= now);
		this.#news = this.#news.filter(item => !due.includes(item));
		for (const {from, to, news} of due) {
			if (!(to.downUntil <= now)) {
				continue;
			}

			const clocks = this.#clocks.get(to) ?? allotments.createSenderClocks();
			this.#clocks.set(to, clocks);
			to.limiter.applyReport(news, {at: clocks.convert(from, news.at, to.clock), now: to.clock});
		}
	}

	#ask(now: number): void {
		const service = this.#random() < 0.84 ? 0 : 1;
		const hosts = this.#getDispatchers(service, now);
		const host = hosts[Math.floor(this.#random() * hosts.length)];
		if (host === undefined) {
			return;
		}

		this.#sent++;
		const admission = host.limiter.admit(ORGANISATION, SERVICES[service], host.clock);
		if (admission.kind === 'refused') {
			this.#refused++;
			return;
		}

		this.#admittedAt.push(now);
		if (admission.isReportUrgent) {
			this.#tell(this.#hosts.indexOf(host), host, now);
		}
	}

	#getExcess(): number {
		const {ratePerSecond} = this.#history;
		const most = (((ratePerSecond * WINDOW_MILLISECONDS / 1000) + ratePerSecond) * (1 + OVER)) + SLACK;
		let excess = -Infinity;
		let first = 0;
		for (const [last, at] of this.#admittedAt.entries()) {
			while (at - (this.#admittedAt[first] ?? at) > WINDOW_MILLISECONDS) {
				first++;
			}

			excess = Math.max(excess, last - first + 1 - most);
		}

		return excess;
	}
}
