import { build } from 'esbuild'

/** Packages that are bundled from their sources, so that what the cell does not use stays out. */
const packages = ['cell', 'core', 'telemetry']
const common = { bundle: true, minify: true, keepNames: true, platform: 'node', target: 'node20', mainFields: ['module', 'main'], logLevel: 'warning' }

/** HTTP/2 is never spoken; loading it took 22 of 250 ms of a start. */
const withoutHttp2 = {
  name: 'without-http2',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: 'http2', namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: 'module.exports = { constants: {} }' }))
  }
}

// Two passes: the first drops unused modules, among them one with a top-level await, which the second could not take.
const modules = await build({
  ...common,
  entryPoints: ['platform/src/main.ts'],
  format: 'esm',
  write: false,
  alias: Object.fromEntries(packages.map(name => [`@rattanstep/${name}`, `./packages/${name}/src/index.ts`])),
  plugins: [withoutHttp2]
})
// CommonJS starts about 60 ms sooner on the entry instances than an ES module.
await build({ ...common, stdin: { contents: modules.outputFiles[0].text, resolveDir: '.' }, format: 'cjs', outfile: 'target/rattanstep.cjs' })
