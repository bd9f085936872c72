// Package docs holds the documentation. Its tests compare the documents with the code.
package docs
