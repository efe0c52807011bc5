/**
The flags of the command line: name, accepted values and schema. The environment variable of a flag is named `WAGTAILROUTE_`
followed by the name of the flag in capitals, with underscores in place of dashes.
*/
import type * as zod from 'zod';
import * as schemas from './flag-schemas.ts';

/**
A flag. `accepted` is shown in help and errors. The value of a flag with `isSecret` is never printed. A flag with `isSwitch` takes no value.
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
The flags by the key of their setting. The default of a flag is part of its schema.
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
	overloadControl: {
		name: 'overload-control',
		description: 'Whether services are divided among dispatchers and requests ordered by the cost of delay; by default as the settings file asks',
		accepted: 'on, off or auto',
		schema: schemas.overloadControl.optional(),
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
		name: 'no-wait', description: 'Don\'t wait until the change is in force on every host', accepted: 'true or false', schema: schemas.trueOrFalse.prefault('false'), isSwitch: true,
	},
	revision: {
		name: 'revision', description: 'Change only this revision (default: the present one)', accepted: 'a whole number, 1 or more', schema: schemas.positiveInteger.optional(),
	},
	against: {
		name: 'against', description: 'File with what is in force, as "catalogue list --format json", "catalogue show" or a control host gives it', accepted: 'a path', schema: schemas.path.optional(),
	},
	targets: {
		name: 'targets', description: 'Traffic addresses to load', accepted: ADDRESSES_ACCEPTED, schema: schemas.addresses.prefault('127.0.0.1:8080'),
	},
	service: {
		name: 'service', description: 'Service whose addresses are asked of the targets (default: load the targets themselves)', accepted: NAME_ACCEPTED, schema: schemas.name.optional(),
	},
	requestsPerSecond: {
		name: 'requests-per-second', description: 'Rate of arrivals', accepted: COUNT_ACCEPTED, schema: schemas.positiveInteger.prefault('100'),
	},
	seconds: {
		name: 'seconds', description: 'Length of the run', accepted: COUNT_ACCEPTED, schema: schemas.positiveInteger.prefault('10'),
	},
	warmupSeconds: {
		name: 'warmup-seconds', description: 'Time at the start whose latencies aren\'t recorded', accepted: 'a whole number', schema: schemas.nonNegativeInteger.prefault('0'),
	},
	concurrency: {
		name: 'concurrency', description: 'Greatest number of requests under way', accepted: COUNT_ACCEPTED, schema: schemas.positiveInteger.prefault('2000'),
	},
	mix: {
		name: 'mix', description: 'YAML file with the mix of requests (default: GET / only)', accepted: 'a path', schema: schemas.path.optional(),
	},
	seed: {
		name: 'seed', description: 'Seed of the arrivals and of the mix', accepted: 'a whole number', schema: schemas.nonNegativeInteger.prefault('1'),
	},
	standins: {
		name: 'standins', description: 'Stand-ins whose runs are compared with the outcomes told', accepted: ADDRESSES_ACCEPTED, schema: schemas.addresses.prefault(''),
	},
} as const satisfies Readonly<Record<string, Flag>>;

/**
Key of the setting that a flag sets.
*/
export type FlagKey = keyof typeof FLAGS;

const ENVIRONMENT_PREFIX = 'WAGTAILROUTE_';

/**
Returns the name of the environment variable of a flag.
*/
export function getVariableName(flag: Flag): string {
	return ENVIRONMENT_PREFIX + flag.name.replaceAll('-', '_').toUpperCase();
}

/**
Returns the names of variables that have the prefix of this program and belong to no flag. A misspelt variable would otherwise
be ignored silently.
*/
export function findUnknownVariableNames(environment: Readonly<Record<string, string | undefined>>): readonly string[] {
	const known = new Set(getVariableNames());
	return Object.keys(environment).filter(name => name.startsWith(ENVIRONMENT_PREFIX) && !known.has(name));
}

/**
Returns the flag that an argument such as `--admin` names.
*/
export function findFlag(argument: string): Flag | undefined {
	const all: readonly Flag[] = Object.values(FLAGS);
	return all.find(({name}) => argument === `--${name}`);
}

/**
Returns the names of the environment variables of all flags, without repetition.
*/
export function getVariableNames(): readonly string[] {
	return [...new Set(Object.values(FLAGS).map(flag => getVariableName(flag)))];
}

const SECRET_NAME_PATTERN = /tok|secret|key|pass|operator|fleet/iv;

/**
Returns whether an unknown flag or variable may be the misspelt name of a secret, whose value must not be printed.
*/
export function isPossibleSecretName(name: string): boolean {
	return SECRET_NAME_PATTERN.test(name);
}
