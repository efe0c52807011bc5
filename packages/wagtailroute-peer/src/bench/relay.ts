/**
A relay between two peers that counts the bytes of their connections, both ways, TLS included.
*/
import * as net from 'node:net';

/**
Counts what goes through it.
*/
export type Relay = {
	readonly port: number;
	/**
	Returns the bytes relayed since the last time, both ways.
	*/
	readonly collectBytes: () => number;
	/**
	Ends all connections, so that the next call opens one.
	*/
	readonly closeConnections: () => void;
	readonly close: () => Promise<void>;
};

/**
Opens a relay to a port of this machine.
*/
export async function openRelay(targetPort: number): Promise<Relay> {
	let bytes = 0;
	const sockets = new Set<net.Socket>();
	const track = (socket: net.Socket) => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			bytes += chunk.length;
		});
	};

	const closeConnections = () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		sockets.clear();
	};

	const server = net.createServer(inbound => {
		const outbound = net.connect(targetPort, '127.0.0.1');
		track(inbound);
		track(outbound);
		inbound.pipe(outbound);
		outbound.pipe(inbound);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: (server.address() as net.AddressInfo).port,
		collectBytes() {
			const collected = bytes;
			bytes = 0;
			return collected;
		},
		closeConnections,
		async close() {
			closeConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

/**
Returns a port that nobody listens on.
*/
export async function findFreePort(): Promise<number> {
	const server = net.createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as net.AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}
