/**
A stand-in for a backend server: it processes a number of requests at a time, queues some more and sends heartbeats.

It is built on sockets, so that it knows each connection, and does only what the pages say of a sound server.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import {call, type Deployment} from './fleet.ts';

/**
What a server is like.
*/
export type UpstreamOptions = {
	readonly id: string;
	readonly service: string;
	readonly ip: string;
	readonly port?: number;
	readonly slots: number;
	/**
	Requests that wait at most; further ones are rejected.
	*/
	readonly queue?: number;
	/**
	Connections from all callers combined; further ones are reset.
	*/
	readonly maxConnections?: number;
	/**
	Milliseconds that a request takes, by its path.
	*/
	readonly getWork: (url: string) => number;
	/**
	Whether a request is dropped when its connection closes.
	*/
	readonly isDropping?: boolean;
	readonly body?: string;
	/**
	Whether the answer to a request is broken off in the middle of its body.
	*/
	readonly isBrokenOff?: (requestId: string) => boolean;
	/**
	Whether a request is rejected as not run although a slot is free.
	*/
	readonly isTurnedAway?: (requestId: string) => boolean;
};

/**
A run of a request.
*/
export type Run = {
	readonly requestId: string;
	readonly url: string;
	readonly method: string;
	readonly arrivedAt: number;
	startedAt?: number;
	endedAt?: number;
	bodyBytes: number;
};

/**
A running server. Times are milliseconds of `performance.now()`.
*/
export type Upstream = {
	readonly id: string;
	readonly address: string;
	/**
	Requests whose head has arrived, health checks and those that name another server aside.
	*/
	readonly arrivals: readonly Run[];
	/**
	Those of them that the server has begun to run.
	*/
	readonly runs: readonly Run[];
	readonly countConnections: () => number;
	readonly countResets: () => number;
	readonly setState: (state: 'ready' | 'draining') => void;
	readonly beat: () => Promise<number>;
};

/**
Starts a server with heartbeats each 1.5 s.
*/
export async function startUpstream(deployment: Deployment, options: UpstreamOptions): Promise<Upstream> {
	const {
		id, service, ip, slots, queue = 16, maxConnections = Infinity, isDropping = true, body = 'served',
	} = options;
	const arrivals: Run[] = [];
	const runs: Run[] = [];
	const waiting: Array<() => void> = [];
	let working = 0;
	let resets = 0;
	let state: 'ready' | 'draining' = 'ready';
	const sockets = new Set<net.Socket>();

	const startNext = () => {
		while (working < slots && waiting.length > 0) {
			working++;
			waiting.shift()!();
		}
	};

	const enqueue = (run: () => void): boolean => {
		if (working >= slots && waiting.length >= queue) {
			return false;
		}

		waiting.push(run);
		startNext();
		return true;
	};

	const release = () => {
		working--;
		startNext();
	};

	const reject = (response: http.ServerResponse, requestId: string) => {
		response.writeHead(503, {'request-id': requestId, 'not-executed': '1', 'content-length': '0'}).end();
	};

	const answer = (response: http.ServerResponse, requestId: string) => {
		if (response.destroyed) {
			return;
		}

		response.writeHead(200, {'request-id': requestId, 'response-stamp': `stamp-${id}-${requestId}`, 'content-length': String(body.length)});
		if (options.isBrokenOff?.(requestId) !== true) {
			response.end(body);
			return;
		}

		deployment.record(`${id} breaks off its answer to ${requestId}`);
		response.write(body.slice(0, body.length / 2), () => {
			response.destroy();
		});
	};

	const server = http.createServer({keepAliveTimeout: 10_000}, (message, response) => {
		const requestId = String(message.headers['request-id'] ?? '');
		const url = message.url ?? '/';
		message.on('error', () => undefined);
		response.on('error', () => undefined);
		if (url === '/health') {
			const isTaken = enqueue(() => {
				setTimeout(() => {
					response.writeHead(state === 'ready' ? 200 : 503, {'instance-id': id, 'content-length': '0'}).end();
					release();
				}, 25);
			});
			if (!isTaken) {
				reject(response, requestId);
			}

			return;
		}

		if (message.headers['expect-instance'] !== undefined && message.headers['expect-instance'] !== id) {
			response.writeHead(421, {'request-id': requestId, 'not-executed': '1', 'content-length': '0'}).end();
			return;
		}

		const run: Run = {
			requestId, url, method: message.method ?? '', arrivedAt: performance.now(), bodyBytes: 0,
		};
		arrivals.push(run);
		message.on('data', (chunk: Uint8Array) => {
			run.bodyBytes += chunk.length;
		});
		message.once('end', () => {
			if (options.isTurnedAway?.(requestId) === true) {
				reject(response, requestId);
				return;
			}

			const isTaken = enqueue(() => {
				if (isDropping && response.destroyed) {
					release();
					return;
				}

				run.startedAt = performance.now();
				runs.push(run);
				deployment.record(`${id} begins to run ${requestId} ${run.method} ${url} (${run.bodyBytes} bytes)`);
				let isReleased = false;
				const end = () => {
					if (isReleased) {
						return;
					}

					isReleased = true;
					run.endedAt = performance.now();
					deployment.record(`${id} ends ${requestId}${response.destroyed ? '; its connection was closed by the system' : ''}`);
					release();
				};

				const timer = setTimeout(() => {
					answer(response, requestId);
					end();
				}, options.getWork(url));
				if (isDropping) {
					response.once('close', () => {
						if (response.writableFinished) {
							return;
						}

						clearTimeout(timer);
						end();
					});
				}
			});
			if (!isTaken) {
				reject(response, requestId);
			}
		});
	});
	server.on('connection', (socket: net.Socket) => {
		if (sockets.size >= maxConnections) {
			resets++;
			socket.resetAndDestroy();
			return;
		}

		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(options.port ?? 0, ip, resolve);
	});
	const address = `${ip}:${(server.address() as net.AddressInfo).port}`;
	const born = Date.now();
	let sequence = 0;
	let turn = Math.floor(Math.random() * deployment.controls.length);
	const beat = async (): Promise<number> => {
		sequence++;
		const heartbeat = {
			service, address, zone: 'aarhus-a', version: 'v1', slots, state, warmupLeftMs: 0, seq: sequence, born,
		};
		for (const _ of deployment.controls) {
			const {ip: controlIp} = deployment.controls[turn % deployment.controls.length]!;
			// eslint-disable-next-line no-await-in-loop -- The next host is called after a failure.
			const {status} = await call(controlIp, `call=instances.heartbeat&of=${id}`, heartbeat);
			if (status >= 200 && status < 300) {
				return status;
			}

			turn++;
		}

		return 0;
	};

	const timer = setInterval(() => {
		void beat();
	}, 1500);
	deployment.onEnd(() => {
		clearInterval(timer);
		server.closeAllConnections();
		server.close();
	});
	await beat();
	return {
		id,
		address,
		arrivals,
		runs,
		countConnections: () => sockets.size,
		countResets: () => resets,
		setState(next) {
			state = next;
		},
		beat,
	};
}
