/**
Open-loop pacing: arrivals come at their own times, whatever the answers do.

A closed loop sends the next request when the last one was answered, so a slow server is asked less and its worst latencies
are never measured (coordinated omission). Here each request has an intended start, drawn beforehand; when the bound on
concurrency holds it back, the wait counts as its latency.
*/
import type * as utils from 'wagtailroute-utils';

/**
Time in milliseconds, and a way to let it pass. `wait` resolves early when `wake` is called.
*/
export type Clock = {
	readonly now: () => number;
	readonly wait: (milliseconds: number) => Promise<void>;
	readonly wake: () => void;
};

/**
What is paced.
*/
export type PacingSettings = {
	readonly clock: Clock;
	readonly random: utils.Random;
	readonly requestsPerSecond: number;
	readonly seconds: number;
	readonly concurrency: number;
	/**
	Time in milliseconds after the last intended start at which what is not yet sent is given up.
	*/
	readonly graceMilliseconds: number;
	/**
	Sends a request; resolves when it is over. `intendedAt` is in the clock's time.
	*/
	readonly send: (intendedAt: number) => Promise<void>;
};

/**
What became of the arrivals.
*/
export type Pace = {
	readonly sent: number;
	readonly notSent: number;
};

const MILLISECONDS_PER_SECOND = 1000;

/**
Sends arrivals with exponential gaps (a Poisson process) and waits for the last answer.
*/
export async function pace(settings: PacingSettings): Promise<Pace> {
	const {clock, concurrency} = settings;
	const startedAt = clock.now();
	const end = startedAt + (settings.seconds * MILLISECONDS_PER_SECOND);
	const meanGap = MILLISECONDS_PER_SECOND / settings.requestsPerSecond;
	let underWay = 0;
	let sent = 0;

	async function sendOne(intendedAt: number): Promise<void> {
		underWay++;
		sent++;
		await settings.send(intendedAt);
		underWay--;
		clock.wake();
	}

	function drawGap(): number {
		return -Math.log(1 - settings.random()) * meanGap;
	}

	let next = startedAt + drawGap();
	while (next < end && clock.now() < end + settings.graceMilliseconds) {
		const now = clock.now();
		if (underWay >= concurrency || now < next) {
			const limit = underWay >= concurrency ? end + settings.graceMilliseconds : next;
			// eslint-disable-next-line no-await-in-loop
			await clock.wait(limit - now);
			continue;
		}

		void sendOne(next);
		next += drawGap();
	}

	let notSent = 0;
	for (; next < end; next += drawGap()) {
		notSent++;
	}

	const isUnderWay = (): boolean => underWay > 0;
	while (isUnderWay()) {
		// eslint-disable-next-line no-await-in-loop
		await clock.wait(MILLISECONDS_PER_SECOND);
	}

	return {sent, notSent};
}
