/**
The entry of the one binary. The binary holds the program as two scripts: one for the command that runs the many processes of a
fleet on the platform, one for all other commands. Each process reads and compiles only the script that it runs.

A process spends most of its start on compiling. So the binary holds, beside each script, the code that was compiled when the
binary was built. Code that does not belong to this engine or its flags is rejected by the engine, which then compiles anew: one
would notice a start that takes twice as long, so it is told.
*/
import * as buffer from 'node:buffer';
import * as module from 'node:module';
import process from 'node:process';
import * as sea from 'node:sea';
import * as vm from 'node:vm';

type Loader = (require: NodeJS.Require, loaded: {exports: unknown}, exports: unknown) => void;

const PLATFORM_WORD = 'platform';
const name = process.argv[2] === PLATFORM_WORD ? 'platform' : 'commands';
const cachedData = buffer.Buffer.from(sea.getRawAsset(`${name}.code`));
const script = new vm.Script(sea.getAsset(`${name}.cjs`, 'utf8'), {filename: `${name}.cjs`, cachedData});
if (script.cachedDataRejected === true) {
	process.stderr.write('wagtailroute: the compiled code is not of this engine, the start takes longer\n');
}

const loaded = {exports: {}};
const load = script.runInThisContext() as Loader;
load(module.createRequire(process.execPath), loaded, loaded.exports);
