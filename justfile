# Recipes for those who have just; each is one of the scripts.

# Runs the whole path and prints goodput by tier and wasted prefill.
demo:
    bash scripts/demo.sh

# Runs format check, lints and tests.
test:
    bash scripts/test.sh
