import { build } from 'esbuild'

/** Packages that are bundled from their sources, so that code which the cell does not use is left out. */
const packages = ['cell', 'core', 'policy', 'telemetry']
const common = { bundle: true, minify: true, keepNames: true, platform: 'node', target: 'node20', mainFields: ['module', 'main'], logLevel: 'warning' }

/** Replaces http2 by an empty module: the cell does not use HTTP/2, and loading it took 22 of the 250 ms of a start. */
const withoutHttp2 = {
  name: 'without-http2',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: 'http2', namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: 'module.exports = { constants: {} }' }))
  }
}

// Bundle in two passes. The first, to an ES module, drops unused modules, one of which has a top-level await. The second
// converts the result to CommonJS, which does not support top-level await.
const modules = await build({
  ...common,
  entryPoints: ['platform/src/main.ts'],
  format: 'esm',
  write: false,
  alias: Object.fromEntries(packages.map(name => [`@rattanstep/${name}`, `./packages/${name}/src/index.ts`])),
  plugins: [withoutHttp2]
})
// On the entry instances CommonJS starts about 60 ms faster than an ES module.
await build({ ...common, stdin: { contents: modules.outputFiles[0].text, resolveDir: '.' }, format: 'cjs', outfile: 'target/rattanstep.cjs' })
