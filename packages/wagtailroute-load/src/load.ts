/**
A load run from its settings to its result.
*/
import * as crypto from 'node:crypto';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import * as clocks from './clock.ts';
import * as constants from './constants.ts';
import type * as failures from './failures.ts';
import type * as mixes from './mix.ts';
import * as pacing from './pacing.ts';
import * as requests from './requests.ts';
import * as senders from './sender.ts';
import * as control from './standin-control.ts';
import * as tallies from './tally.ts';
import * as directories from './targets.ts';
import * as truths from './truth.ts';

/**
What a run is to do. `standins` are the addresses of all stand-ins behind the targets; without them runs aren't compared.
*/
export type LoadSettings = {
	readonly targets: readonly core.Address[];
	/**
	Service whose addresses the targets are asked for; without it the targets themselves are loaded.
	*/
	readonly service?: core.ServiceName | undefined;
	readonly requestsPerSecond: number;
	readonly seconds: number;
	/**
	Time at the start whose latencies aren't recorded: connections and code are cold. All else is counted.
	*/
	readonly warmupSeconds?: number;
	readonly concurrency: number;
	readonly mix: mixes.Mix;
	readonly seed: number;
	readonly standins: readonly core.Address[];
	/**
	Told about once a second while the run goes on.
	*/
	readonly onProgress?: (progress: Progress) => void;
};

/**
How far a run is.
*/
export type Progress = {
	readonly seconds: number;
	readonly sent: number;
	readonly underWay: number;
	readonly record: tallies.TallyRecord;
};

/**
What a run found. `notSent` arrivals came while the bound on concurrency held and were given up at the end.
*/
export type LoadResult = {
	readonly seconds: number;
	readonly answersPerSecond: number;
	readonly sent: number;
	readonly notSent: number;
	readonly faults: control.ShownFaults;
	readonly record: tallies.TallyRecord;
	readonly truth: truths.Truth;
};

const MILLISECONDS_PER_SECOND = 1000;
const PREFIX_BYTES = 4;

/**
Runs a load to its end.
*/
export async function runLoad(settings: LoadSettings): Promise<results.Result<LoadResult, failures.LoadFailure>> {
	const bounds = checkBounds(settings);
	if (bounds.isErr()) {
		return bounds;
	}

	const random = utils.createRandom(settings.seed);
	const targets = await directories.createTargets(settings.targets, settings.service, utils.createRandom(settings.seed + 1));
	return targets.isErr() ? targets : results.Ok(await sendAll(settings, targets.value, random));
}

function checkBounds(settings: LoadSettings): results.Result<void, failures.LoadFailure> {
	if (settings.targets.length === 0) {
		return results.Err(core.createFailure('no-addresses', 'There is no target to load'));
	}

	if (settings.requestsPerSecond * settings.seconds > constants.REQUESTS) {
		return results.Err(core.createFailure('too-large', `At most ${constants.REQUESTS} requests a run`));
	}

	return settings.concurrency > constants.CONCURRENCY
		? results.Err(core.createFailure('too-large', `At most ${constants.CONCURRENCY} requests under way`))
		: results.Ok(undefined);
}

async function sendAll(settings: LoadSettings, targets: directories.Targets, random: utils.Random): Promise<LoadResult> {
	const clock = clocks.createClock();
	const tally = tallies.createTally();
	const sender = senders.createSender(settings.concurrency);
	const source = requests.createRequestSource(settings.mix, random, crypto.randomBytes(PREFIX_BYTES).toString('hex'));
	const told: truths.ToldRequest[] = [];
	const wrongAnswers = {count: 0, examples: [] as string[]};
	const startedAt = clock.now();
	const warmAt = startedAt + ((settings.warmupSeconds ?? 0) * MILLISECONDS_PER_SECOND);
	let sent = 0;

	async function send(intendedAt: number): Promise<void> {
		sent++;
		const request = source();
		const isWarm = intendedAt >= warmAt;
		if (isWarm) {
			tally.recordLag(clock.now() - intendedAt);
		}

		const attempts = await sendUntilRan(request, targets, sender, tally);
		told.push({id: request.id, requestClass: request.kind.class, told: attempts.map(attempt => attempt.told)});
		const last = attempts.at(-1)!;
		if (isWarm && last.ending === 'whole') {
			tally.recordLatency(request.kind.class, clock.now() - intendedAt);
		}

		const wrongs = attempts.flatMap(({wrong}) => wrong ?? []);
		wrongAnswers.count += wrongs.length;
		wrongAnswers.examples.push(...wrongs.slice(0, constants.DESCRIBED_WRONGS - wrongAnswers.examples.length));
	}

	const progress = setInterval(() => {
		settings.onProgress?.({
			seconds: (clock.now() - startedAt) / MILLISECONDS_PER_SECOND, sent, underWay: sent - told.length, record: tally.read(),
		});
	}, constants.PROGRESS_MILLISECONDS);
	const faults = control.createFaultSchedule(settings.mix.faults, settings.standins);
	const pace = await pacing.pace({
		clock,
		random: utils.createRandom(settings.seed + 2),
		requestsPerSecond: settings.requestsPerSecond,
		seconds: settings.seconds,
		concurrency: settings.concurrency,
		graceMilliseconds: constants.REQUEST_TIMEOUT_MILLISECONDS,
		send,
	});
	const seconds = (clock.now() - startedAt) / MILLISECONDS_PER_SECOND;
	clearInterval(progress);
	const shownFaults = await faults.end();
	targets.stop();
	await sender.close();
	const record = tally.read();
	return {
		...pace,
		seconds,
		answersPerSecond: record.endings.whole / seconds,
		faults: shownFaults,
		record,
		truth: truths.compareRuns(told, await control.readRuns(settings.standins), wrongAnswers),
	};
}

/**
Sends a request, again as often as its kind says while it was not told that it ran. A refused connection carried no request,
so the next address is tried without counting as a resend, as a caller would.
*/
async function sendUntilRan(
	request: requests.PlannedRequest,
	targets: directories.Targets,
	sender: senders.Sender,
	tally: tallies.Tally,
): Promise<readonly senders.Attempt[]> {
	const attempts: senders.Attempt[] = [];
	for (let resend = 0; resend <= request.kind.resends; resend++) {
		const address = targets.pick();
		// eslint-disable-next-line no-await-in-loop
		let attempt = await sender.send(address, request);
		if (attempt.ending === 'refused') {
			tally.countAttempt('refused', undefined, 'lost');
			// eslint-disable-next-line no-await-in-loop
			attempt = await sender.send(targets.pick(address), request);
		}

		tally.countAttempt(attempt.ending, attempt.status, attempt.told);
		attempts.push(attempt);
		if (attempt.ending === 'whole' && attempt.told === 'ran') {
			break;
		}
	}

	return attempts;
}
