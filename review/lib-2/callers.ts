/**
Consumers that send requests on connections of their own.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as net from 'node:net';
import {type Deployment, HOST, PORTS} from './fleet.ts';

/**
What became of a request. Status 0: the connection ended without an answer.
*/
export type Outcome = {
	readonly id: string;
	readonly status: number;
	readonly stamp: string | undefined;
	readonly text: string;
	readonly answeredAt: number;
};

/**
A request of a consumer.
*/
export type CallerRequest = {
	readonly ip: string;
	readonly id: string;
	readonly path: string;
	readonly method?: string;
	readonly body?: string;
	readonly deadlineMs: number;
	readonly agent?: http.Agent;
};

/**
Sends a request and resolves with its outcome.
*/
export async function sendRequest(deployment: Deployment, {
	ip, id, path, method = 'POST', body = '', deadlineMs, agent,
}: CallerRequest): Promise<Outcome> {
	return new Promise(resolve => {
		const end = (status: number, stamp: string | undefined, text: string) => {
			resolve({
				id, status, stamp, text, answeredAt: performance.now(),
			});
		};

		const request = http.request({
			host: ip,
			port: PORTS.front,
			method,
			path,
			agent: agent ?? false,
			headers: {
				host: HOST, 'request-id': id, 'deadline-ms': String(deadlineMs), 'content-length': String(buffer.Buffer.byteLength(body)),
			},
		}, response => {
			let text = '';
			response.on('data', (chunk: Uint8Array) => {
				text += String(chunk);
			});
			response.once('end', () => {
				end(response.statusCode!, response.headers['response-stamp'] as string | undefined, text);
			});
			response.once('error', error => {
				end(0, undefined, error.message);
			});
		});
		request.once('error', error => {
			end(0, undefined, error.message);
		});
		deployment.onEnd(() => {
			request.destroy();
		});
		request.end(body);
	});
}

/**
An upload whose consumer may leave.
*/
export type Upload = {
	readonly id: string;
	status: number;
	leftAt?: number;
	readonly leave: () => void;
};

/**
Sends an upload with its whole body on a connection of its own.
*/
export function startUpload(deployment: Deployment, {
	ip, id, path, bytes, deadlineMs,
}: {
	readonly ip: string;
	readonly id: string;
	readonly path: string;
	readonly bytes: number;
	readonly deadlineMs: number;
}): Upload {
	const socket = net.connect(PORTS.front, ip);
	const upload: Upload = {
		id,
		status: 0,
		leave() {
			upload.leftAt = performance.now();
			socket.destroy();
		},
	};
	socket.on('error', () => undefined);
	socket.on('data', (chunk: Uint8Array) => {
		if (upload.status > 0) {
			return;
		}

		const status = Number(/^HTTP\/1\.1 (?<status>\d{3})/v.exec(String(chunk))?.groups?.status ?? 0);
		upload.status = status;
		deployment.record(`${id} is answered ${status}`);
	});
	socket.write(`POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: ${bytes}\r\n\r\n`);
	socket.write(buffer.Buffer.alloc(bytes, 'x'));
	deployment.onEnd(() => {
		socket.destroy();
	});
	return upload;
}
