/**
Entry point of the single executable. The executable embeds two scripts: one for the command `platform`, which runs the many
processes of a fleet on the platform, and one for all other commands, `platform check` included. Each process reads and compiles only the script that it
runs.

Most of the start-up time of a process is compilation. The executable therefore embeds V8's code cache of each script, created
when the executable is built. V8 rejects a cache that was created by another version or with other flags, and compiles the script
again. The start then takes twice as long, so a line on stderr reports it.
*/
import * as buffer from 'node:buffer';
import * as module from 'node:module';
import process from 'node:process';
import * as sea from 'node:sea';
import * as vm from 'node:vm';

/**
The function that a CommonJS script evaluates to.
*/
type ModuleWrapper = (require: NodeJS.Require, moduleObject: {exports: unknown}, exports: unknown) => void;

const PLATFORM_COMMAND = 'platform';
const CHECK_SUBCOMMAND = 'check';
const [command, subcommand] = process.argv.slice(2);
const scriptName = command === PLATFORM_COMMAND && subcommand !== CHECK_SUBCOMMAND ? 'platform' : 'commands';
const cachedData = buffer.Buffer.from(sea.getRawAsset(`${scriptName}.code`));
const script = new vm.Script(sea.getAsset(`${scriptName}.cjs`, 'utf8'), {filename: `${scriptName}.cjs`, cachedData});
if (script.cachedDataRejected === true) {
	process.stderr.write('wagtailroute: the compiled code is not of this engine, the start takes longer\n');
}

const moduleObject = {exports: {}};
const runModule = script.runInThisContext() as ModuleWrapper;
runModule(module.createRequire(process.execPath), moduleObject, moduleObject.exports);
