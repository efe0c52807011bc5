/**
The endpoints of a stand-in that aren't work: health, load, the change of faults and the counters.
*/
import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as behaviours from './behaviours.ts';
import * as constants from './constants.ts';
import type {Counters} from './counters.ts';
import * as exchanges from './exchanges.ts';

/**
What the endpoints read and change.
*/
export type ControlSettings = {
	readonly counters: Counters;
	readonly getUse: () => {readonly held: number; readonly queued: number};
	readonly getBehaviours: () => readonly behaviours.Behaviour[];
	readonly getAge: () => number;
	readonly behave: (behaviours: readonly behaviours.Behaviour[]) => void;
};

/**
Takes the requests that are no work; returns false for the others.
*/
export type Control = {
	readonly receive: (request: http.IncomingMessage, response: http.ServerResponse) => boolean;
};

type Endpoint = (request: http.IncomingMessage) => exchanges.Answer | Promise<exchanges.Answer>;

/**
Creates the endpoints: a table by method and path.
*/
export function createControl(settings: ControlSettings): Control {
	const endpoints: Readonly<Record<string, Endpoint>> = {
		'GET /health'() {
			const isHealthy = saysHealthy(settings.getBehaviours(), settings.getAge());
			return exchanges.createJsonAnswer(isHealthy ? 200 : 503, {status: isHealthy ? 'ok' : 'sick'});
		},
		'GET /load'() {
			const isLying = settings.getBehaviours().some(({kind}) => kind === 'lie');
			return exchanges.createJsonAnswer(200, isLying ? {held: 0, queued: 0} : settings.getUse());
		},
		'GET /.standin/counters': () => exchanges.createJsonAnswer(200, settings.counters.read()),
		'DELETE /.standin/counters'() {
			settings.counters.clear();
			return exchanges.createJsonAnswer(200, {});
		},
		'GET /.standin/behaviour': () => exchanges.createJsonAnswer(200, settings.getBehaviours()),
		async 'PUT /.standin/behaviour'(request) {
			const parsed = await readBehaviours(request);
			if (parsed === undefined) {
				return exchanges.createJsonAnswer(400, {accepted: 'one behaviour or a list of at most 16'});
			}

			settings.behave(parsed);
			return exchanges.createJsonAnswer(200, parsed);
		},
	};

	async function answer(endpoint: Endpoint, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		try {
			await exchanges.sendAnswer(response, await endpoint(request));
		} catch {
			response.destroy();
		}
	}

	return {
		receive(request, response) {
			const endpoint = endpoints[`${request.method} ${request.url}`];
			if (!endpoint) {
				return false;
			}

			void answer(endpoint, request, response);
			return true;
		},
	};
}

const HARMLESS_KINDS: ReadonlySet<behaviours.BehaviourKind> = new Set(['lie', 'crash', 'cold']);

function saysHealthy(shown: readonly behaviours.Behaviour[], age: number): boolean {
	const lie = shown.find(behaviour => behaviour.kind === 'lie');
	if (lie) {
		return lie.says === 'ok';
	}

	return shown.every(behaviour => behaviour.kind === 'flap'
		? Math.floor(age / behaviour.periodMilliseconds) % 2 === 0
		: HARMLESS_KINDS.has(behaviour.kind));
}

async function readBehaviours(request: http.IncomingMessage): Promise<readonly behaviours.Behaviour[] | undefined> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		length += chunk.length;
		if (length > constants.BEHAVIOUR_BODY_BYTES) {
			return undefined;
		}

		chunks.push(chunk);
	}

	try {
		const value: unknown = JSON.parse(Buffer.concat(chunks).toString());
		return behaviours.parseBehaviours(Array.isArray(value) ? value : [value]);
	} catch {
		return undefined;
	}
}
