/**
What each fault does to a request: a table of handlers by the kind of the fault.
*/
import {Buffer} from 'node:buffer';
import * as stream from 'node:stream';
import type {Behaviour, BehaviourKind} from './behaviours.ts';
import * as constants from './constants.ts';
import * as exchanges from './exchanges.ts';

/**
The hooks of one fault. `beforeRun` and `afterRun` return true when they took the request over: nothing further is done
with it.
*/
type Handler<Kind extends BehaviourKind> = {
	readonly beforeRun?: (exchange: exchanges.Exchange, behaviour: Extract<Behaviour, {kind: Kind}>) => boolean;
	/**
	Returns the time of work in milliseconds, given that without this fault.
	*/
	readonly getWork?: (
		exchange: exchanges.Exchange,
		behaviour: Extract<Behaviour, {kind: Kind}>,
		work: number,
	) => number;
	readonly afterRun?: (
		exchange: exchanges.Exchange,
		behaviour: Extract<Behaviour, {kind: Kind}>,
		answer: exchanges.Answer,
		body: exchanges.ReadBody | undefined,
	) => boolean | Promise<boolean>;
};

type HandlerTable = {readonly [Kind in BehaviourKind]: Handler<Kind>};

const HANDLERS: HandlerTable = {
	slow: {
		getWork: (exchange, behaviour, work) => isHit(exchange, behaviour) ? (work * behaviour.factor) + behaviour.delayMilliseconds : work,
	},
	cold: {
		getWork(exchange, behaviour, work) {
			const left = Math.max(0, 1 - (exchange.age / behaviour.milliseconds));
			return work + (left * behaviour.delayMilliseconds);
		},
	},
	fail: {
		async afterRun(exchange, behaviour) {
			return isHit(exchange, behaviour) && fail(exchange, behaviour.status);
		},
	},
	flap: {
		async afterRun(exchange, behaviour) {
			const isBad = Math.floor(exchange.age / behaviour.periodMilliseconds) % 2 === 1;
			return isBad && fail(exchange, behaviour.status);
		},
	},
	shed: {
		beforeRun(exchange, behaviour) {
			if (isHit(exchange, behaviour)) {
				shed(exchange);
				return true;
			}

			return false;
		},
	},
	reset: {
		beforeRun(exchange, behaviour) {
			if (behaviour.when === 'midway' || !isHit(exchange, behaviour)) {
				return false;
			}

			exchange.counters.count('reset');
			exchange.request.socket.resetAndDestroy();
			return true;
		},
		async afterRun(exchange, behaviour, answer) {
			if (behaviour.when === 'before' || !isHit(exchange, behaviour)) {
				return false;
			}

			exchange.counters.count('reset');
			await exchanges.cutAnswer(exchange.response, answer, 'reset');
			return true;
		},
	},
	truncate: {
		async afterRun(exchange, behaviour, answer) {
			if (!isHit(exchange, behaviour)) {
				return false;
			}

			exchange.counters.count('truncated');
			await exchanges.cutAnswer(exchange.response, answer, behaviour.framing);
			return true;
		},
	},
	crash: {
		afterRun(exchange, behaviour, _answer, body) {
			if (!isMarked(exchange, behaviour.mark, body)) {
				return false;
			}

			exchange.counters.count('crashed');
			exchange.crash(behaviour.backAfterMilliseconds);
			return true;
		},
	},
	lie: {},
	'half-open': {
		beforeRun: (exchange, behaviour) => isHit(exchange, behaviour),
	},
	endless: {
		async afterRun(exchange, behaviour) {
			if (!isHit(exchange, behaviour)) {
				return false;
			}

			await exchanges.sendAnswer(exchange.response, {
				status: 200, headers: {}, body: () => stream.Readable.from(generateForever()), length: undefined,
			});
			return true;
		},
	},
	'oversize-headers': {
		async afterRun(exchange, behaviour, answer) {
			if (!isHit(exchange, behaviour)) {
				return false;
			}

			const headers = {...answer.headers, 'x-oversize': 'x'.repeat(behaviour.bytes)};
			await exchanges.sendAnswer(exchange.response, {...answer, headers});
			return true;
		},
	},
};

/**
Refuses a request that was not run and says so.
*/
export function shed(exchange: exchanges.Exchange): void {
	exchange.counters.count('shed');
	void exchanges.sendAnswer(exchange.response, exchanges.createJsonAnswer(503, {shed: true}, {
		'wagtailroute-outcome': 'not-run',
		'retry-after': '1',
	}));
}

/**
Shows the faults that come before the run; returns true when one took the request over.
*/
export function runBefore(exchange: exchanges.Exchange, behaviours: readonly Behaviour[]): boolean {
	return behaviours.some(behaviour => getHandler(behaviour).beforeRun?.(exchange, behaviour) ?? false);
}

/**
Returns the time of work in milliseconds under the faults.
*/
export function getWork(exchange: exchanges.Exchange, behaviours: readonly Behaviour[], usual: number): number {
	let work = usual;
	for (const behaviour of behaviours) {
		work = getHandler(behaviour).getWork?.(exchange, behaviour, work) ?? work;
	}

	return work;
}

/**
Shows the faults that come after the run; returns true when one took the answer over.
*/
export async function runAfter(
	exchange: exchanges.Exchange,
	behaviours: readonly Behaviour[],
	answer: exchanges.Answer,
	body: exchanges.ReadBody | undefined,
): Promise<boolean> {
	for (const behaviour of behaviours) {
		// The faults are tried in order: the first that takes the answer over ends it.
		// eslint-disable-next-line no-await-in-loop
		if (await getHandler(behaviour).afterRun?.(exchange, behaviour, answer, body)) {
			return true;
		}
	}

	return false;
}

function getHandler<Kind extends BehaviourKind>(behaviour: {readonly kind: Kind}): Handler<Kind> {
	return HANDLERS[behaviour.kind];
}

function isHit(exchange: exchanges.Exchange, behaviour: {readonly share: number}): boolean {
	return behaviour.share === 1 || exchange.random() < behaviour.share;
}

async function fail(exchange: exchanges.Exchange, status: number): Promise<boolean> {
	exchange.counters.count('failed');
	await exchanges.sendAnswer(exchange.response, exchanges.createJsonAnswer(status, {failed: true}));
	return true;
}

function isMarked(exchange: exchanges.Exchange, mark: string, body: exchanges.ReadBody | undefined): boolean {
	const {url, rawHeaders} = exchange.request;
	return (url?.includes(mark) ?? false)
		|| rawHeaders.some(text => text.includes(mark))
		|| (body?.head.includes(mark) ?? false);
}

function * generateForever(): Generator<Buffer> {
	const block = Buffer.alloc(constants.BLOCK_BYTES, 'x');
	for (;;) {
		yield block;
	}
}
