import {build} from 'esbuild';
import {
  existsSync,
  mkdirSync,
  readdirSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {resolve} from 'node:path';

// Bundles the host program of the platform into target/. Packages are taken from
// their sources, so that nothing is written outside target/.
const alias = Object.fromEntries(
  readdirSync('packages')
    .filter(name => existsSync(`packages/${name}/src/index.ts`))
    .map(name => [
      `@chivewick/${name}`,
      resolve('packages', name, 'src/index.ts'),
    ]),
);
const {metafile, outputFiles} = await build({
  entryPoints: {'chivewick-host': 'platform/src/start.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  // The modules that the entry point loads later are a file of their own: in one file,
  // esbuild initializes CommonJS dependencies after the modules that need them.
  splitting: true,
  chunkNames: 'chivewick-[name]',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  metafile: true,
  write: false,
  alias,
  // CommonJS dependencies load Node's own modules with require.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
});

// A host that starts during another build must not read half a file.
mkdirSync('target', {recursive: true});
for (const {path, contents} of outputFiles) {
  const temporary = `${path}.${process.pid}`;
  writeFileSync(temporary, contents);
  renameSync(temporary, path);
}

if (process.argv.includes('--sizes')) {
  const sizes = Object.values(metafile.outputs)
    .flatMap(output => Object.entries(output.inputs))
    .map(([path, {bytesInOutput}]) => [bytesInOutput, path])
    .sort((a, b) => b[0] - a[0]);
  for (const [bytes, path] of sizes.slice(0, 30)) console.log(bytes, path);
}
