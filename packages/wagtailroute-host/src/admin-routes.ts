/**
What a route of the admin port is.
*/
import type * as http from 'node:http';

/**
A request to the admin port that a route has matched.
*/
export type AdminRequest = {
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	/**
	The name in the path, '' where it has none.
	*/
	readonly name: string;
	readonly query: URLSearchParams;
};

/**
One route of the admin port.
*/
export type AdminRoute = {
	readonly method: 'GET' | 'PUT' | 'DELETE';
	readonly pattern: RegExp;
	readonly handle: (request: AdminRequest) => void | Promise<void>;
};
