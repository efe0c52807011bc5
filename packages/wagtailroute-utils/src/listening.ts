/**
Opening and closing servers, for every kind that listens on a TCP address.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';

/**
Where a server listens. Port 0 lets the system choose one.
*/
export type ListenAddress = {
	readonly ip: string;
	readonly port: number;
};

/**
Opens a server. Resolves with its address, whose port the system may have chosen; rejects when it cannot listen there.
*/
export async function listen(server: net.Server, address: ListenAddress): Promise<ListenAddress> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.ip, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return {ip: address.ip, port: (server.address() as net.AddressInfo).port};
}

/**
Closes an HTTP server with all of its connections.
*/
export async function closeServer(server: Pick<http.Server, 'close' | 'closeAllConnections'>): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
