/**
Runs the requests of a stand-in: a slot, the faults before the run, the run, the faults after it, the answer.
*/
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as utils from 'wagtailroute-utils';
import * as answers from './answers.ts';
import type * as behaviours from './behaviours.ts';
import type * as counters from './counters.ts';
import * as deadlines from './deadlines.ts';
import * as exchanges from './exchanges.ts';
import * as handlers from './handlers.ts';
import type * as slots from './slots.ts';

/**
What a worker needs of its stand-in.
*/
export type WorkerSettings = {
	readonly id: string;
	readonly random: utils.Random;
	readonly counters: counters.Counters;
	readonly workMilliseconds: number;
	readonly getSlots: () => slots.Slots;
	readonly getBehaviours: () => readonly behaviours.Behaviour[];
	/**
	Age of the server in milliseconds since its last start.
	*/
	readonly getAge: () => number;
	readonly noteArrival: () => void;
	readonly crash: (backAfterMilliseconds: number | undefined) => void;
};

/**
Serves one request to its end; never rejects.
*/
export type Serve = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/**
Creates the function that serves.
*/
export function createWorker(worker: WorkerSettings): Serve {
	const counts = worker.counters;

	async function serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const deadline = deadlines.createDeadline(request, response);
		const exchange: exchanges.Exchange = {
			request,
			response,
			signal: deadline.signal,
			random: worker.random,
			counters: counts,
			age: worker.getAge(),
			crash: worker.crash,
		};
		counts.count('requests');
		worker.noteArrival();
		const usedSlots = worker.getSlots();
		if (!await usedSlots.acquire(deadline.signal)) {
			deadline.end();
			refuse(exchange);
			return;
		}

		counts.enter();
		try {
			await run(exchange);
		} catch {
			countBreak(exchange);
		} finally {
			deadline.end();
			counts.leave();
			usedSlots.release();
		}
	}

	async function run(exchange: exchanges.Exchange): Promise<void> {
		const {request, response} = exchange;
		if (handlers.runBefore(exchange, worker.getBehaviours())) {
			await waitForClose(response);
			return;
		}

		const body = answers.isStreamedBack(request.url ?? '') ? undefined : await exchanges.readBody(request);
		counts.countRun(
			answers.getHeader(request.headers['x-request-id']),
			answers.getHeader(request.headers['idempotency-key']),
		);
		const usual = (worker.workMilliseconds) * (0.5 + worker.random());
		const work = handlers.getWork(exchange, worker.getBehaviours(), usual);
		if (work > 0) {
			await timers.setTimeout(work, undefined, {signal: exchange.signal});
		}

		const answer = answers.createAnswer(exchange, body, worker.id);
		if (await handlers.runAfter(exchange, worker.getBehaviours(), answer, body)) {
			return;
		}

		await exchanges.sendAnswer(response, answer);
		counts.count('answered');
	}

	return serve;
}

/**
Answers a request that got no slot: it was not run.
*/
function refuse(exchange: exchanges.Exchange): void {
	if (exchange.signal.reason === 'closed') {
		exchange.counters.count('aborted');
		return;
	}

	if (exchange.signal.aborted) {
		exchange.counters.count('expired');
	}

	handlers.shed(exchange);
}

/**
Counts a run that was broken off, and answers it where the caller is still there.
*/
function countBreak(exchange: exchanges.Exchange): void {
	const {response, signal, counters: counts} = exchange;
	if (signal.reason !== 'expired') {
		counts.count('aborted');
		response.destroy();
		return;
	}

	counts.count('expired');
	if (response.headersSent) {
		response.destroy();
		return;
	}

	void exchanges.sendAnswer(response, exchanges.createJsonAnswer(504, {expired: true}));
}

async function waitForClose(response: http.ServerResponse): Promise<void> {
	if (response.closed || response.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('close', resolve);
	});
}
