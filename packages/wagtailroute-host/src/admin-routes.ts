/**
Types of the routes of the admin port.
*/
import type * as http from 'node:http';

/**
Request on the admin port, matched by a route.
*/
export type AdminRequest = {
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	/**
	Decoded group `name` of the path, '' where the pattern has none.
	*/
	readonly name: string;
	readonly query: URLSearchParams;
};

/**
Route of the admin port: a method and a pattern that matches the whole path.
*/
export type AdminRoute = {
	readonly method: 'GET' | 'PUT' | 'DELETE';
	readonly pattern: RegExp;
	readonly handle: (request: AdminRequest) => void | Promise<void>;
};
