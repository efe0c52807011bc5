/**
Every flag of the command line: its name, what it accepts and how it is read. A flag's environment variable is
`WAGTAILROUTE_` and its name in capitals, dashes as underscores.
*/
import type * as zod from 'zod';
import * as schemas from './flag-schemas.ts';

/**
One flag. The value of a secret is never printed.
*/
export type Flag = {
	readonly name: string;
	readonly description: string;
	readonly accepted: string;
	readonly schema: zod.ZodType<unknown, string | undefined>;
	readonly isSecret?: boolean;
	readonly isSwitch?: boolean;
};

const PORT_ACCEPTED = 'a port number, 0 to 65535';
const ADDRESS_ACCEPTED = 'ip:port, IPv6 numbers in brackets';
const NAME_ACCEPTED = 'a name of 1 to 63 letters, digits, ".", "_" or "-"';
const SECRET_ACCEPTED = '1 to 512 printable characters without spaces';
const COUNT_ACCEPTED = 'a whole number, 1 or more';
const ADDRESSES_ACCEPTED = 'ip:port,ip:port,…';

/**
The flags by the key of their setting.
*/
export const FLAGS = {
	settingsFile: {
		name: 'config', description: 'Settings file of the platform', accepted: 'a path', schema: schemas.path,
	},
	trafficPort: {
		name: 'traffic-port', description: 'Port for callers and backend servers', accepted: PORT_ACCEPTED, schema: schemas.port.prefault('8080'),
	},
	adminPort: {
		name: 'admin-port', description: 'Port for operators', accepted: PORT_ACCEPTED, schema: schemas.port.prefault('8081'),
	},
	hostId: {
		name: 'host-id', description: 'Name of this host, unique over the fleet', accepted: NAME_ACCEPTED, schema: schemas.name,
	},
	failureDomain: {
		name: 'failure-domain', description: 'Failure domain of this host', accepted: NAME_ACCEPTED, schema: schemas.name,
	},
	region: {
		name: 'region', description: 'Region of this host', accepted: NAME_ACCEPTED, schema: schemas.name.prefault('default'),
	},
	roles: {
		name: 'roles', description: 'What this host does', accepted: 'entry, control or entry,control', schema: schemas.roles.prefault('entry'),
	},
	trafficAddress: {
		name: 'traffic-address', description: 'Address for callers and backend servers', accepted: ADDRESS_ACCEPTED, schema: schemas.address,
	},
	adminAddress: {
		name: 'admin-address', description: 'Address for operators', accepted: ADDRESS_ACCEPTED, schema: schemas.address,
	},
	peerAddress: {
		name: 'peer-address', description: 'Address for the other hosts of the fleet', accepted: ADDRESS_ACCEPTED, schema: schemas.address,
	},
	seeds: {
		name: 'seeds', description: 'Peer addresses of hosts to join', accepted: ADDRESSES_ACCEPTED, schema: schemas.addresses.prefault(''),
	},
	dataFolder: {
		name: 'data-folder', description: 'Folder for the state of a control host', accepted: 'a path; needed by the role control', schema: schemas.path.optional(),
	},
	initialControl: {
		name: 'initial-control', description: 'The first control members by peer address', accepted: 'id=ip:port,id=ip:port,…', schema: schemas.namedAddresses.prefault(''),
	},
	operatorToken: {
		name: 'operator-token', description: 'Bearer token of the admin port (better by environment)', accepted: SECRET_ACCEPTED, schema: schemas.secret, isSecret: true,
	},
	optionalOperatorToken: {
		name: 'operator-token', description: 'Bearer token of the admin port (better by environment)', accepted: SECRET_ACCEPTED, schema: schemas.secret.optional(), isSecret: true,
	},
	fleetSecret: {
		name: 'fleet-secret', description: 'Secret that the hosts of one fleet share (better by environment)', accepted: SECRET_ACCEPTED, schema: schemas.secret, isSecret: true,
	},
	logFormat: {
		name: 'log-format', description: 'Format of the log', accepted: 'text or json', schema: schemas.textOrJson.prefault('text'),
	},
	logLevel: {
		name: 'log-level', description: 'Least level that is logged', accepted: 'error, warn, info or debug', schema: schemas.logLevel.prefault('info'),
	},
	statsd: {
		name: 'statsd', description: 'Address that metrics are sent to over UDP', accepted: ADDRESS_ACCEPTED, schema: schemas.address.optional(),
	},
	admin: {
		name: 'admin', description: 'Admin address of the host to ask', accepted: ADDRESS_ACCEPTED, schema: schemas.address.prefault('127.0.0.1:8081'),
	},
	format: {
		name: 'format', description: 'Format of the answer', accepted: 'text or json', schema: schemas.textOrJson.prefault('text'),
	},
	reportFormat: {
		name: 'format', description: 'Format of the report', accepted: 'text, json or html', schema: schemas.reportFormat.prefault('text'),
	},
	window: {
		name: 'window', description: 'Span of time of the report', accepted: 'a span such as 5m, 1h or 3d', schema: schemas.span.prefault('1h'),
	},
	noWait: {
		name: 'no-wait', description: 'Don\'t wait until the change is in force on every host', accepted: 'true or false', schema: schemas.toggle.prefault('false'), isSwitch: true,
	},
	revision: {
		name: 'revision', description: 'Change only this revision (default: the present one)', accepted: 'a whole number, 1 or more', schema: schemas.count.optional(),
	},
	targets: {
		name: 'targets', description: 'Traffic addresses to load', accepted: ADDRESSES_ACCEPTED, schema: schemas.addresses.prefault('127.0.0.1:8080'),
	},
	service: {
		name: 'service', description: 'Service whose addresses are asked of the targets (default: load the targets themselves)', accepted: NAME_ACCEPTED, schema: schemas.name.optional(),
	},
	requestsPerSecond: {
		name: 'requests-per-second', description: 'Rate of arrivals', accepted: COUNT_ACCEPTED, schema: schemas.count.prefault('100'),
	},
	seconds: {
		name: 'seconds', description: 'Length of the run', accepted: COUNT_ACCEPTED, schema: schemas.count.prefault('10'),
	},
	warmupSeconds: {
		name: 'warmup-seconds', description: 'Time at the start whose latencies aren\'t recorded', accepted: 'a whole number', schema: schemas.wholeNumber.prefault('0'),
	},
	concurrency: {
		name: 'concurrency', description: 'Greatest number of requests under way', accepted: COUNT_ACCEPTED, schema: schemas.count.prefault('2000'),
	},
	mix: {
		name: 'mix', description: 'YAML file with the mix of requests (default: GET / only)', accepted: 'a path', schema: schemas.path.optional(),
	},
	seed: {
		name: 'seed', description: 'Seed of the arrivals and of the mix', accepted: 'a whole number', schema: schemas.wholeNumber.prefault('1'),
	},
	standins: {
		name: 'standins', description: 'Stand-ins whose runs are compared with the outcomes told', accepted: ADDRESSES_ACCEPTED, schema: schemas.addresses.prefault(''),
	},
} as const satisfies Readonly<Record<string, Flag>>;

/**
The key of a flag's setting.
*/
export type FlagKey = keyof typeof FLAGS;

const ENVIRONMENT_PREFIX = 'WAGTAILROUTE_';

/**
Returns the name of a flag's environment variable.
*/
export function getVariable(flag: Flag): string {
	return ENVIRONMENT_PREFIX + flag.name.replaceAll('-', '_').toUpperCase();
}

/**
Returns the names of variables that look like ours but belong to no flag: a misspelt one would else be silently without
effect.
*/
export function findUnknownVariables(environment: Readonly<Record<string, string | undefined>>): readonly string[] {
	const known = new Set(getVariables());
	return Object.keys(environment).filter(name => name.startsWith(ENVIRONMENT_PREFIX) && !known.has(name));
}

/**
Returns the flag that a word such as `--admin` names.
*/
export function findFlag(word: string): Flag | undefined {
	const all: readonly Flag[] = Object.values(FLAGS);
	return all.find(({name}) => word === `--${name}`);
}

/**
Returns the names of all variables.
*/
export function getVariables(): readonly string[] {
	return [...new Set(Object.values(FLAGS).map(flag => getVariable(flag)))];
}

const SECRET_NAME = /tok|secret|key|pass|operator|fleet/iv;

/**
Says whether an unknown flag or variable may be meant for a secret, so that its value must not be printed.
*/
export function isLikeSecret(name: string): boolean {
	return SECRET_NAME.test(name);
}
