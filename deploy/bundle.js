import { build } from 'esbuild'

/** Bundles the cell into one file, so that a start reads little and compiles only what is used. */
const packages = ['cell', 'core', 'telemetry']

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/rattanstep.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  alias: Object.fromEntries(packages.map(name => [`@rattanstep/${name}`, `./packages/${name}/src/index.ts`])),
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  logLevel: 'warning'
})
