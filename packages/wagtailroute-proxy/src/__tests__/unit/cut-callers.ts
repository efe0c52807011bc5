/**
Callers that tell a response that looks complete from one that doesn't.
*/
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type {Expected} from './cut-cases.ts';

/**
A request of a caller that keeps its connection.
*/
export type CallerRequest = {
	readonly origin: string;
	readonly path: string;
	readonly agent: http.Agent;
	readonly method?: string | undefined;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/**
	Time between the head of the response and the reading of its body.
	*/
	readonly pauseMilliseconds?: number;
};

const FAILURE_STATUS = 502;

/**
Sends a request and returns what its caller gets.
*/
export async function receive({
	origin, path, agent, method = 'GET', headers = {}, body, pauseMilliseconds = 0,
}: CallerRequest): Promise<Expected> {
	const {promise, resolve, reject} = Promise.withResolvers<http.IncomingMessage>();
	http.request(origin + path, {agent, method, headers}, resolve).once('error', reject).end(body);
	try {
		const response = await promise;
		await (pauseMilliseconds === 0 ? undefined : timers.setTimeout(pauseMilliseconds));
		const chunks: string[] = [];
		for await (const chunk of response.setEncoding('latin1')) {
			chunks.push(String(chunk));
		}

		return response.complete ? readComplete(response, chunks.join('')) : {kind: 'cut'};
	} catch {
		return {kind: 'cut'};
	}
}

function readComplete({statusCode: status = 0, headers}: http.IncomingMessage, content: string): Expected {
	const isRefused = status === FAILURE_STATUS && headers['wagtailroute-outcome'] === 'unknown';
	return isRefused ? {kind: 'refused'} : {kind: 'whole', status, content};
}

/**
All that a caller receives on a connection, and how that ends.
*/
export type ReceivedBytes = {
	readonly text: string;
	readonly isReset: boolean;
};

/**
Sends a text on a connection of its own.
*/
export async function exchangeBytes(port: number, text: string): Promise<ReceivedBytes> {
	const {promise, resolve} = Promise.withResolvers<ReceivedBytes>();
	const socket = net.connect(port, '127.0.0.1');
	const chunks: string[] = [];
	socket.setEncoding('latin1');
	socket.on('data', chunk => {
		chunks.push(String(chunk));
	});
	socket.once('error', () => {
		resolve({text: chunks.join(''), isReset: true});
	});
	socket.once('close', () => {
		resolve({text: chunks.join(''), isReset: false});
	});
	socket.write(text);
	return promise;
}

const OLD_RESPONSE_PATTERN = /^HTTP\/1\.1 (?<status>\d{3})(?<head>.*?)\r\n\r\n(?<content>.*)$/sv;
const LENGTH_PATTERN = /\r\ncontent-length: (?<length>\d+)/iv;
const UNKNOWN_PATTERN = /\r\nwagtailroute-outcome: unknown/iv;

/**
Returns what an HTTP/1.0 caller takes a response for: without a length, it is complete where its connection ends regularly.
*/
export function readOldResponse({text, isReset}: ReceivedBytes): Expected {
	const groups = OLD_RESPONSE_PATTERN.exec(text)?.groups;
	if (groups === undefined) {
		return {kind: 'cut'};
	}

	const {status = '', head = '', content = ''} = groups;
	const length = LENGTH_PATTERN.exec(head)?.groups?.length;
	const isComplete = length === undefined ? !isReset : content.length === Number(length);
	if (!isComplete) {
		return {kind: 'cut'};
	}

	const isRefused = Number(status) === FAILURE_STATUS && UNKNOWN_PATTERN.test(head);
	return isRefused ? {kind: 'refused'} : {kind: 'whole', status: Number(status), content};
}
